package org.lycheemount.scheduling

private const val MIN_SAMPLES = 20
private const val QUANTILE = 0.95
private const val STEP_FRACTION = 0.05
private const val MIN_STEP_MS = 1.0

// Hedging at exactly the 95th percentile would duplicate one request in twenty on a healthy route.
private const val HEDGE_DELAY_FACTOR = 1.5

/**
 * Decides when calls of one team on one route are hedged: sent to another server while the first attempt still runs.
 *
 * The caller charges each hedge to the team's retry budget, so hedging cannot add more load than retries. Performs no I/O;
 * not thread-safe.
 */
class HedgingPolicy {
    private var quantileMs = 0.0
    private var samples = 0

    /** Records the time from the start of an attempt to its response, or to its first token. */
    fun onResponse(elapsedMs: Long) {
        if (samples == 0) quantileMs = elapsedMs.toDouble()
        samples++
        val step = maxOf(MIN_STEP_MS, quantileMs * STEP_FRACTION)
        quantileMs += if (elapsedMs > quantileMs) step * QUANTILE else -step * (1 - QUANTILE)
        quantileMs = maxOf(0.0, quantileMs)
    }

    /**
     * Returns the delay in milliseconds from the start of an attempt to its hedge, or null when it must not be hedged:
     * the call is not repeatable, no other server is available, [remainingMs] is too short for a second response, or the
     * route has too few samples.
     */
    fun hedgeDelayMs(
        isRepeatable: Boolean,
        otherAvailableServers: Int,
        remainingMs: Long?,
    ): Long? {
        if (!isRepeatable || otherAvailableServers == 0 || samples < MIN_SAMPLES) return null
        val delayMs = (quantileMs * HEDGE_DELAY_FACTOR).toLong()
        if (remainingMs != null && remainingMs < delayMs + quantileMs) return null
        return delayMs
    }
}
