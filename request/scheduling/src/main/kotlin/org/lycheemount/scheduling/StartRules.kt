package org.lycheemount.scheduling

// A request that may wait leaves this much of a server free for requests that may not.
private const val DELAY_TOLERANT_RESERVE = 2.0
private const val DELAY_TOLERANT_SLACK_MS = 5_000L

// On a server that is busier than this, a prompt is prefilled only when its own servers have had no room for a while:
// prefills that a cache would have saved are what turns a full fleet into an overloaded one.
private const val IDLE_SHARE = 0.4

/** Decides on which servers a queued request may start now. */
internal class StartRules(
    private val selector: ServerSelector,
) {
    /** Servers among [open] where [request] may start now. */
    fun takers(
        open: List<ServerState>,
        homes: HomeServers,
        lane: TargetQueue,
        request: QueuedRequest,
        nowMs: Long,
    ): List<ServerState> {
        val withRoom = open.filter { hasRoom(it, lane, request, nowMs) }
        if (withRoom.isEmpty() || request.item.prefixHashes.isEmpty() || !request.canChoose(nowMs)) return withRoom
        val affine =
            request.affineServers(nowMs) {
                selector.affine(open, homes.homeOf(request.item, request.isDelayTolerant), request.item, nowMs)
            }
        return withRoom.filter { it.id in affine || it.idleShare(nowMs) > IDLE_SHARE }
    }

    private fun hasRoom(
        state: ServerState,
        lane: TargetQueue,
        request: QueuedRequest,
        nowMs: Long,
    ): Boolean {
        if (state.id in request.item.excludedServers || request.isPastDeadline(nowMs)) return false
        if (state.health.allowedRequests(nowMs) <= state.ownInFlight) return false
        val room = state.room(lane.fleetShare, nowMs)
        return room > if (request.dueAtMs - nowMs >= DELAY_TOLERANT_SLACK_MS) DELAY_TOLERANT_RESERVE * lane.fleetShare else 0.0
    }
}
