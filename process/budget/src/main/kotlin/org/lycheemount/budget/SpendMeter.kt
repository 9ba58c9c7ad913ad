package org.lycheemount.budget

import kotlin.math.exp
import kotlin.math.max

/**
 * Measures the spend rate of a budget on one router, the sizes of reservations and the share of them that requests use.
 *
 * @param windowMs averaging window of the recent rate.
 */
internal class SpendMeter(
    private val windowMs: Long = DEFAULT_WINDOW_MS,
) {
    private var tokensSinceTick = 0L
    private var lastTickMs: Long? = null
    private var isUsed = false
    private var shortAveragePerMs = 0.0

    /** Weight of the samples in the short average; below 1 after the start, when the average is biased towards its initial 0. */
    private var shortAverageWeight = 0.0
    private var longAveragePerMs = 0.0

    /** Average share of the worst case that requests use; 1 before the first sample. */
    var usageRatio = 1.0
        private set

    /** Part of the window that has been measured, from 0 to 1. The window begins with the first use. */
    val measuredShare: Double get() = shortAverageWeight

    /** Mean reservation size, weighted by size: the size of the reservations that hold most of the tokens. */
    val typicalReservationTokens: Long
        get() = if (meanReservationTokens > 0) (meanSquaredReservation / meanReservationTokens).toLong() else largestReservationTokens
    private var meanReservationTokens = 0.0
    private var meanSquaredReservation = 0.0

    /** Largest recent reservation; decays over time. */
    var largestReservationTokens = 0L
        private set
    var lastUseAtMs = Long.MIN_VALUE / 2
        private set

    /** Spend rate in tokens per millisecond: the greater average over one and over ten windows, so that lulls do not shrink grants. */
    val ratePerMs: Double get() = max(shortAveragePerMs / max(shortAverageWeight, MIN_SHORT_AVERAGE_WEIGHT), longAveragePerMs)

    /** Spend rate in tokens per millisecond, averaged over one window. */
    val recentRatePerMs: Double get() = shortAveragePerMs

    fun recordReservation(
        tokens: Long,
        nowMs: Long,
    ) {
        largestReservationTokens = max(largestReservationTokens, tokens)
        meanReservationTokens += RESERVATION_WEIGHT * (tokens - meanReservationTokens)
        meanSquaredReservation += RESERVATION_WEIGHT * (tokens.toDouble() * tokens - meanSquaredReservation)
        lastUseAtMs = max(lastUseAtMs, nowMs)
    }

    fun recordUse(
        tokens: Long,
        worstCaseTokens: Long,
    ) {
        isUsed = true
        tokensSinceTick += tokens
        if (worstCaseTokens > 0) usageRatio += USAGE_RATIO_WEIGHT * (tokens.toDouble() / worstCaseTokens - usageRatio)
    }

    fun tick(nowMs: Long) {
        val elapsedMs = nowMs - (lastTickMs ?: nowMs)
        if (lastTickMs != null && elapsedMs < TICK_MS) return
        lastTickMs = nowMs
        // The time before the first use says nothing about the rate of the team's traffic.
        if (elapsedMs <= 0 || !isUsed) return
        val perMs = tokensSinceTick.toDouble() / elapsedMs
        tokensSinceTick = 0
        val weight = 1 - exp(-elapsedMs.toDouble() / windowMs)
        shortAveragePerMs += weight * (perMs - shortAveragePerMs)
        shortAverageWeight += weight * (1 - shortAverageWeight)
        longAveragePerMs += (1 - exp(-elapsedMs.toDouble() / (windowMs * LONG_AVERAGE_WINDOWS))) * (perMs - longAveragePerMs)
        largestReservationTokens = (largestReservationTokens * exp(-elapsedMs.toDouble() / (windowMs * LONG_AVERAGE_WINDOWS))).toLong()
    }

    private companion object {
        private const val TICK_MS = 1_000L
        private const val DEFAULT_WINDOW_MS = 60_000L

        /** Below this part of a window, the samples are too few to scale up, as a single burst would count as the rate. */
        private const val MIN_SHORT_AVERAGE_WEIGHT = 0.3
        private const val LONG_AVERAGE_WINDOWS = 10
        private const val USAGE_RATIO_WEIGHT = 0.05
        private const val RESERVATION_WEIGHT = 0.05
    }
}
