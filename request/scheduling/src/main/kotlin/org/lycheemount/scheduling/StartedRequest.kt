package org.lycheemount.scheduling

import org.lycheemount.common.BackendServerId

/**
 * A request that a backend server works on.
 *
 * @property predictedBlocks leading prompt blocks expected in the server's prefix cache.
 * @property estimate expected times when it was started.
 * @property loadAtStart estimated requests on the server when it was started, this one included.
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

    /** Prompt tokens that the server is expected to find in its cache. */
    val predictedCachedTokens: Int get() = cachedTokens(item, predictedBlocks)
}

/** Prompt tokens of [item] in its [blocks] leading blocks. */
internal fun cachedTokens(
    item: WorkItem,
    blocks: Int,
): Int = if (item.prefixHashes.isEmpty()) 0 else (item.promptTokens.toLong() * blocks / item.prefixHashes.size).toInt()
