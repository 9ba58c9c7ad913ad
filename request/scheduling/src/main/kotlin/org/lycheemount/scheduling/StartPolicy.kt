package org.lycheemount.scheduling

// A request that may wait leaves this much of a server free for requests that may not.
private const val DELAY_TOLERANT_RESERVED_SLOTS = 2.0
private const val DELAY_TOLERANT_SLACK_MS = 5_000L

// On a server that is busier than this, a prompt is prefilled only when its own servers have had no room for a while:
// prefills that a cache would have saved are what turns a full fleet into an overloaded one.
private const val MIN_IDLE_SHARE = 0.4

/** Decides on which servers a queued request may start now. */
internal class StartPolicy(
    private val selector: ServerSelector,
) {
    /** Servers among [available] where [request] may start now. */
    fun eligibleServers(
        available: List<ServerState>,
        preferredServers: PreferredServers,
        targetQueue: TargetQueue,
        request: QueuedRequest,
        nowMs: Long,
    ): List<ServerState> {
        val withFreeSlot = available.filter { hasFreeSlot(it, targetQueue, request, nowMs) }
        if (withFreeSlot.isEmpty() || request.item.prefixHashes.isEmpty() || !request.hasSlackToWait(nowMs)) return withFreeSlot
        val affinityServers =
            request.affinityServers(nowMs) {
                selector.affinityServers(
                    available,
                    preferredServers.preferredServerOf(request.item, request.isDelayTolerant),
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
        if (state.id in request.item.excludedServers || request.isPastDeadline(nowMs)) return false
        if (state.health.allowedRequests(nowMs) <= state.ownInFlight) return false
        val freeSlots = state.freeSlots(targetQueue.fleetShare, nowMs)
        return freeSlots >
            if (request.dueAtMs - nowMs >= DELAY_TOLERANT_SLACK_MS) DELAY_TOLERANT_RESERVED_SLOTS * targetQueue.fleetShare else 0.0
    }
}
