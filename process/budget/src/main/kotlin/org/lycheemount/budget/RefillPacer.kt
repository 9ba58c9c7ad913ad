package org.lycheemount.budget

import kotlin.random.Random

/**
 * Paces the refills that a router makes ahead of need, so that the refills of all routers rarely conflict on the rows of budgets. The
 * interval grows with the number of routers, and doubles with each conflict in a row.
 */
internal class RefillPacer(
    private val random: Random,
) {
    private var dueAtMs = Long.MIN_VALUE / 2
    private var conflicts = 0

    fun isDue(nowMs: Long): Boolean = nowMs >= dueAtMs

    fun untilDueMs(nowMs: Long): Long = (dueAtMs - nowMs).coerceAtLeast(0)

    /** Schedules the next turn after a transaction with [result]. */
    fun record(
        result: WriteAttemptResult,
        nowMs: Long,
        routers: Int,
    ) {
        conflicts = if (result == WriteAttemptResult.CONFLICT) minOf(conflicts + 1, MAX_DOUBLINGS) else 0
        val intervalMs = (routers * INTERVAL_PER_ROUTER_MS) shl conflicts
        dueAtMs = nowMs + intervalMs / 2 + random.nextLong(intervalMs + 1)
    }

    private companion object {
        private const val INTERVAL_PER_ROUTER_MS = 10L
        private const val MAX_DOUBLINGS = 2
    }
}
