package org.lycheemount.scheduling

private const val MIN_SAMPLES = 20
private const val QUANTILE = 0.95
private const val STEP_FRACTION = 0.05
private const val MIN_STEP_MS = 1.0

// A second attempt at exactly the 95th percentile would double one request in twenty of a healthy route.
private const val HEDGE_DELAY_FACTOR = 1.5

/**
 * Says when the calls of one team on one route get a second attempt at another server while the first still runs.
 *
 * The caller takes a retry from the team's retry budget for each second attempt, so hedging cannot add more load than
 * retries may. Pure; not thread-safe.
 */
class HedgingPolicy {
    private var quantileMs = 0.0
    private var samples = 0

    /** Records the time from the start of an attempt to its answer, or to its first token. */
    fun onResponse(elapsedMs: Long) {
        if (samples == 0) quantileMs = elapsedMs.toDouble()
        samples++
        val step = maxOf(MIN_STEP_MS, quantileMs * STEP_FRACTION)
        quantileMs += if (elapsedMs > quantileMs) step * QUANTILE else -step * (1 - QUANTILE)
        quantileMs = maxOf(0.0, quantileMs)
    }

    /**
     * Returns the time after the start of an attempt at which a second one pays, or null when there must be none:
     * [isRepeatable] is false, no other server is open, the caller's remaining time is too short for a second answer, or too
     * little is known of the route.
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
