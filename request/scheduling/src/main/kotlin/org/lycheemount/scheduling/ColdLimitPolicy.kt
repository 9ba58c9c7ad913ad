package org.lycheemount.scheduling

import kotlin.math.floor

private const val WINDOW_S = 1.0
private const val MAX_CLOCK_DIFFERENCE_S = 0.1
private const val MS_PER_SECOND = 1_000.0

// Leaves room for slots that routers with different lists both count as theirs, and for requests that are held up after the permit.
private const val UNCERTAINTY_FACTOR = 1.25

/**
 * Bound on the requests that a cold server gets in any one second: the rate of its service times [overage], and [slack] more.
 */
data class ColdLimitPolicy(
    val overage: Double = 1.0,
    val slack: Double = 0.0,
) {
    /**
     * Rate of slots, a second, at which the bound for [coldPerS] holds.
     *
     * The requests sent in one second have permits of slots that began in that second, up to a permit's lifetime before it, or, by the
     * clock of another router, [MAX_CLOCK_DIFFERENCE_S] apart. With r slots a second, these are at most r times the sum of the three times,
     * rounded up.
     */
    fun slotsPerS(coldPerS: Double): Double {
        // A bound below one request would never let the server become warm by requests.
        val boundRequests = maxOf(1.0, floor(coldPerS * overage + slack))
        val permitsSpanS = WINDOW_S + COLD_PERMIT_LIFETIME_MS / MS_PER_SECOND + MAX_CLOCK_DIFFERENCE_S
        return minOf(coldPerS, boundRequests / (UNCERTAINTY_FACTOR * permitsSpanS))
    }
}
