package org.lycheemount.scheduling

import org.lycheemount.common.BackendServerId

/**
 * A request that is in flight on a backend server.
 *
 * @property predictedBlocks leading prompt blocks expected in the server's prefix cache.
 * @property estimate expected times as of the start.
 * @property loadAtStart estimated requests on the server at the start, including this one.
 */
internal class StartedRequest(
    val item: WorkItem,
    val serverId: BackendServerId,
    val startedAtMs: Long,
    val predictedBlocks: Int,
    val estimate: ServiceEstimate,
    val loadAtStart: Double,
) {
    var firstTokenAtMs: Long? = null

    /** Prompt tokens that are expected to be cached on the server. */
    val predictedCachedTokens: Int get() = cachedTokens(item, predictedBlocks)
}

/** Prompt tokens of [item] in its [blocks] leading blocks. */
internal fun cachedTokens(
    item: WorkItem,
    blocks: Int,
): Int = if (item.prefixHashes.isEmpty()) 0 else (item.promptTokens.toLong() * blocks / item.prefixHashes.size).toInt()
