package org.lycheemount.scheduling

import kotlin.math.ceil
import kotlin.math.floor

private const val MS_PER_SECOND = 1_000.0

/** Time from the start of a slot for which its permit may be used. */
internal const val COLD_PERMIT_LIFETIME_MS = 400.0

// Bounds the work of one call; with 600 routers, the next slot of a router is 600 slots away on average.
private const val MAX_SLOTS_AHEAD = 64L

/**
 * This router's share of the requests that a cold server takes from all routers; handles servers that return idle and attract all routers.
 *
 * Time is divided into slots as in [RequestLimitShare], but the limit holds in any one second, so a permit lives for
 * [COLD_PERMIT_LIFETIME_MS] only, and the owner of a slot is found by rendezvous hashing. Routers whose lists differ by one router then
 * disagree only on the slots of that router. With turns in rounds they would disagree on all slots, and with 95 routers the requests of
 * one second would vary as independent ones do.
 */
internal class ColdRequestShare(
    private val serverHash: Int,
    requestsPerS: Double,
    private val fleet: RouterFleet,
    sinceMs: Long,
) : RequestShare {
    private val slotMs = MS_PER_SECOND / requestsPerS
    private val ownHash = fleet.self.value.hashCode()
    private val otherHashes =
        fleet.routers
            .filter { it != fleet.self }
            .map { it.value.hashCode() }
            .toIntArray()
    private val isListed = fleet.self in fleet.routers

    /** Own slots that have been found and are neither used nor expired, in order. */
    private val ownSlots = ArrayDeque<Long>()

    // Slots that began before are not used, so a router that has just heard of a limit starts without a burst.
    private var nextUnknownSlot = slotAt(sinceMs.toDouble()) + 1

    override val requestsPerS: Double = if (isListed) requestsPerS / fleet.routers.size else 0.0

    override fun availableRequests(nowMs: Long): Int {
        if (!isListed) return 0
        update(nowMs)
        val currentSlot = slotAt(nowMs.toDouble())
        return ownSlots.count { it <= currentSlot }
    }

    override fun onRequest(nowMs: Long) {
        if (!isListed) return
        update(nowMs)
        ownSlots.removeFirstOrNull()
    }

    override fun nextPermitAtMs(nowMs: Long): Long? {
        if (!isListed) return null
        update(nowMs)
        val lastSlot = slotAt(nowMs.toDouble()) + MAX_SLOTS_AHEAD
        while (ownSlots.isEmpty() && nextUnknownSlot <= lastSlot) findNextSlot()
        // Without an own slot among the next ones, the caller asks again when the last of them begins.
        return maxOf(nowMs, ceil(startMs(ownSlots.firstOrNull() ?: nextUnknownSlot)).toLong())
    }

    private fun update(nowMs: Long) {
        val currentSlot = slotAt(nowMs.toDouble())
        nextUnknownSlot = maxOf(nextUnknownSlot, slotAt(nowMs - COLD_PERMIT_LIFETIME_MS))
        while (nextUnknownSlot <= currentSlot) findNextSlot()
        while (ownSlots.isNotEmpty() && startMs(ownSlots.first()) + COLD_PERMIT_LIFETIME_MS < nowMs) ownSlots.removeFirst()
    }

    private fun findNextSlot() {
        if (isOwn(nextUnknownSlot)) ownSlots.addLast(nextUnknownSlot)
        nextUnknownSlot++
    }

    private fun isOwn(slot: Long): Boolean {
        val own = weight(ownHash, slot)
        return otherHashes.all { weight(it, slot) < own }
    }

    private fun weight(
        routerHash: Int,
        slot: Long,
    ): Long {
        var mixed = (slot xor (serverHash.toLong() shl 32) xor routerHash.toLong()) * -0x61c8864680b583ebL
        mixed = (mixed xor (mixed ushr 30)) * -0x40a7b892e31b1a47L
        mixed = (mixed xor (mixed ushr 27)) * -0x6b2fb644ecceee15L
        return mixed xor (mixed ushr 31)
    }

    private fun slotAt(atMs: Double): Long = floor((atMs + fleet.tableTimeOffsetMs) / slotMs).toLong()

    private fun startMs(slot: Long): Double = slot * slotMs - fleet.tableTimeOffsetMs
}
