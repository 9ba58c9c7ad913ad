package org.lycheemount.config

/**
 * Intervals and fan-out of configuration propagation.
 *
 * @property pollMsPerRouter time that each router adds to the polling interval, which limits the fleet's reads of the head
 * row to 1000 / pollMsPerRouter per second.
 * @property initialLoadSpreadMsPerRouter time that each router adds to the range of the random delay before the first load. It
 * leaves most of the table's read capacity to grants and bills when all routers start at once.
 * @property pushFanout maximum number of neighbours that a change is pushed to; the others learn of it from heartbeats.
 */
data class PropagationSettings(
    val minPollMs: Long = 1_000,
    val maxPollMs: Long = 8_000,
    val pollMsPerRouter: Long = 10,
    val initialLoadSpreadMsPerRouter: Long = 8,
    val pushFanout: Int = 6,
    val initialLoadRetryMs: Long = 500,
) {
    internal fun pollMs(routers: Int): Long = (routers * pollMsPerRouter).coerceIn(minPollMs, maxPollMs)
}
