package org.lycheemount.scheduling

import kotlin.math.ceil
import kotlin.math.floor

private const val MS_PER_SECOND = 1_000.0
private const val MIN_PERMIT_LIFETIME_MS = 1_000.0
private const val PERMIT_LIFETIME_SLOTS = 2

/**
 * This router's share of the requests that a server takes from all routers.
 *
 * Time is divided into slots, one for each request that the server takes. Routers with the same list of routers and the same table time
 * agree on the owner of each slot without messages: each owns one slot of every round of as many slots as there are routers. The owner
 * may use the permit of a slot for a while after its start, so that it need not have a request at that moment. In any 4 s, the server
 * thus gets the requests of 5 s and three more at most, however many routers there are; routers with different lists still keep to
 * their own share.
 *
 * Permits that began before [sinceMs] are not used, so a router that has just heard of a limit starts without a burst.
 */
internal class RequestLimitShare(
    private val serverHash: Int,
    requestsPerS: Double,
    private val fleet: RouterFleet,
    sinceMs: Long,
) : RequestShare {
    private val slotMs = MS_PER_SECOND / requestsPerS
    private val lifetimeMs = MIN_PERMIT_LIFETIME_MS + PERMIT_LIFETIME_SLOTS * slotMs
    private val routerCount = maxOf(1, fleet.routers.size)
    private val routerIndex = fleet.routers.sortedBy { it.value }.indexOf(fleet.self)

    /** Round of the oldest permit that is neither used nor expired. */
    private var nextRound = roundAt(sinceMs) - 1

    override val requestsPerS: Double = if (routerIndex < 0) 0.0 else requestsPerS / routerCount

    init {
        while (permitAtMs(nextRound) <= sinceMs) nextRound++
    }

    override fun availableRequests(nowMs: Long): Int {
        if (routerIndex < 0) return 0
        skipExpired(nowMs)
        var round = nextRound
        while (permitAtMs(round) <= nowMs) round++
        return (round - nextRound).toInt()
    }

    override fun onRequest(nowMs: Long) {
        skipExpired(nowMs)
        nextRound++
    }

    override fun nextPermitAtMs(nowMs: Long): Long? {
        if (routerIndex < 0) return null
        skipExpired(nowMs)
        return maxOf(nowMs, ceil(permitAtMs(nextRound)).toLong())
    }

    private fun skipExpired(nowMs: Long) {
        nextRound = maxOf(nextRound, roundAt(nowMs - lifetimeMs.toLong()) - 1)
        while (permitAtMs(nextRound) + lifetimeMs < nowMs) nextRound++
    }

    private fun roundAt(atMs: Long): Long = floor((atMs + fleet.tableTimeOffsetMs) / slotMs / routerCount).toLong()

    private fun permitAtMs(round: Long): Double {
        val slotInRound = Math.floorMod(routerIndex + mix(round), routerCount)
        return (round * routerCount + slotInRound) * slotMs - fleet.tableTimeOffsetMs
    }

    /** Spreads the permits of a router over the rounds, and those of the servers over each round. */
    private fun mix(round: Long): Int {
        val mixed = (round xor serverHash.toLong()) * -0x61c8864680b583ebL
        return (mixed ushr 33).toInt()
    }
}
