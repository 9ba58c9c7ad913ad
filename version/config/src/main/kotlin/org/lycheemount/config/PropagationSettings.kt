package org.lycheemount.config

/**
 * Pace of propagation.
 *
 * @property pollMsPerRouter each router adds this much to the interval, which bounds the fleet's reads of the head row to
 * 1000 / pollMsPerRouter a second.
 * @property pushFanout neighbours that a change is pushed to when there are more; the others notice by heartbeat.
 */
data class PropagationSettings(
    val minPollMs: Long = 1_000,
    val maxPollMs: Long = 8_000,
    val pollMsPerRouter: Long = 10,
    val startSpreadMsPerRouter: Long = 4,
    val pushFanout: Int = 6,
    val startRetryMs: Long = 500,
) {
    internal fun pollMs(routers: Int): Long = (routers * pollMsPerRouter).coerceIn(minPollMs, maxPollMs)
}
