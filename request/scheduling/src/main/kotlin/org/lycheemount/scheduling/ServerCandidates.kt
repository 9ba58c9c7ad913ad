package org.lycheemount.scheduling

/** Servers among those that [canServe] a request to which it may go: those that stay, or, if all leave, those that still take requests. */
internal fun Collection<ServerState>.openServers(
    nowMs: Long,
    canServe: (ServerState) -> Boolean,
): List<ServerState> {
    val open = filter { canServe(it) && it.isOpen(nowMs) }
    return open.filterNot { it.isLeaving(nowMs) }.ifEmpty { open }
}

/** Time from which one of these servers may get requests: the end of the first pause if all that could get them pause, else now. */
internal fun Collection<ServerState>.firstAvailableAtMs(nowMs: Long): Long =
    if (any { it.isAvailable(nowMs) }) nowMs else mapNotNull { it.pause.endMs(nowMs) }.minOrNull() ?: nowMs

/** Median slowdown of the other servers to which [item] could go instead; the greatest value if there are none. */
internal fun Collection<ServerState>.medianPeerSlowdown(
    state: ServerState,
    item: WorkItem,
    nowMs: Long,
): Double {
    val peerSlowdowns =
        filter { it !== state && item.target in it.server.targets && !it.isLeaving(nowMs) && !it.isEvacuated }
            .map { it.health.slowdown }
            .sorted()
    return if (peerSlowdowns.isEmpty()) Double.MAX_VALUE else peerSlowdowns[peerSlowdowns.size / 2]
}

/** Most prompt tokens of [item] that one of these servers has cached. */
internal fun Collection<ServerState>.maxCachedTokens(
    item: WorkItem,
    nowMs: Long,
): Int = cachedTokens(item, maxOf { it.prefixIndex.matchedBlocks(item.prefixHashes, nowMs) })
