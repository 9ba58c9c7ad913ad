package org.lycheemount.standin

/** Token bucket with a burst size of one period. */
internal class RateLimit(
    private val periodMs: Long,
) {
    private var tokens = Double.MAX_VALUE
    private var refilledAtMs = 0L

    /** Takes one token and returns 0, or returns the wait in milliseconds until one is available. A [limit] of 0 permits all. */
    @Synchronized
    fun acquire(
        limit: Int,
        nowMs: Long,
    ): Long {
        if (limit == 0) return 0
        val perMs = limit.toDouble() / periodMs
        tokens = minOf(limit.toDouble(), tokens + (nowMs - refilledAtMs) * perMs)
        refilledAtMs = nowMs
        if (tokens < 1) return ((1 - tokens) / perMs).toLong() + 1
        tokens -= 1
        return 0
    }
}
