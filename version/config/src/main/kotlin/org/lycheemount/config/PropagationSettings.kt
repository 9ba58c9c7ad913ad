package org.lycheemount.config

/**
 * Pace of propagation.
 *
 * @property pollMsPerRouter each router adds this much to the interval, which bounds the fleet's reads of the head row to
 * 1000 / pollMsPerRouter a second.
 * @property initialLoadSpreadMsPerRouter a start of all routers at once is spread over this much for each of them, which leaves most
 * of the table's reads to grants and bills.
 * @property pushFanout neighbours that a change is pushed to when there are more; the others notice by heartbeat.
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
