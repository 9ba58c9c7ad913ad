package org.lycheemount.scheduling

// Free slots per server that delay-tolerant requests leave to urgent ones.
private const val DELAY_TOLERANT_RESERVED_SLOTS = 2.0
private const val DELAY_TOLERANT_SLACK_MS = 5_000L

// Below this idle share, a server without the cached prefix takes a prompt only once the slack of the request is used up.
// Avoidable prefills turn a fully used fleet into an overloaded one.
private const val MIN_IDLE_SHARE = 0.4

/** Decides on which servers a queued request may start now. */
internal class StartPolicy(
    private val selector: ServerSelector,
) {
    /** Returns the servers in [pool] on which [request] may start now. */
    fun eligibleServers(
        pool: ServerPool,
        targetQueue: TargetQueue,
        request: QueuedRequest,
        nowMs: Long,
    ): List<ServerState> {
        val allWithFreeSlot = pool.serversFor(request.item).filter { hasFreeSlot(it, targetQueue, request, nowMs) }
        val withFreeSlot = allWithFreeSlot.filterNot { it.requestLimit.isLimited }
        // Servers with a request limit get what no other server can take.
        if (withFreeSlot.isEmpty()) return allWithFreeSlot
        if (request.item.prefixHashes.isEmpty() || !request.hasSlackToWait(nowMs)) return withFreeSlot
        val affinityServers =
            request.affinityServers(pool.openServers, nowMs) {
                selector.affinityServers(
                    pool.openServers,
                    pool.preferredServers.preferredServerOf(request.item, request.isDelayTolerant),
                    request.item,
                    nowMs,
                )
            }
        return withFreeSlot.filter { it.id in affinityServers || it.idleShare(nowMs) > MIN_IDLE_SHARE }
    }

    private fun hasFreeSlot(
        state: ServerState,
        targetQueue: TargetQueue,
        request: QueuedRequest,
        nowMs: Long,
    ): Boolean {
        if (!request.item.allows(state.server) || request.isPastDeadline(nowMs)) return false
        if (state.health.allowedRequests(nowMs) <= state.ownInFlight) return false
        val freeSlots = state.freeSlots(targetQueue.fleetShare, nowMs)
        return freeSlots >
            if (request.dueAtMs - nowMs >= DELAY_TOLERANT_SLACK_MS) DELAY_TOLERANT_RESERVED_SLOTS * targetQueue.fleetShare else 0.0
    }
}
