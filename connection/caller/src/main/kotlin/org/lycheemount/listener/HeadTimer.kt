package org.lycheemount.listener

/**
 * Measures how long the head of a request has been incomplete, for callers that send heads slowly or never end them. Counts only time in
 * which this process ran: a longer pause between two checks counts as two intervals, since what arrived meanwhile has not been read. Times
 * are in milliseconds.
 */
internal class HeadTimer {
    private var lastCheckMs: Long? = null
    private var countedMs = 0L

    /** Whether a head has begun. */
    val isRunning: Boolean get() = lastCheckMs != null

    /** The first byte of a head arrived at [nowMs]. */
    fun start(nowMs: Long) {
        lastCheckMs = nowMs
        countedMs = 0
    }

    /** The head is complete. */
    fun stop() {
        lastCheckMs = null
    }

    /** Counts the time up to [nowMs] and returns whether the head has been incomplete for [timeoutMs]. */
    fun isExpired(
        nowMs: Long,
        timeoutMs: Long,
    ): Boolean {
        val last = lastCheckMs ?: return false
        countedMs += (nowMs - last).coerceIn(0, 2 * CHECK_INTERVAL_MS)
        lastCheckMs = nowMs
        return countedMs >= timeoutMs
    }

    companion object {
        /** Time in milliseconds between two checks. */
        const val CHECK_INTERVAL_MS = 100L
    }
}
