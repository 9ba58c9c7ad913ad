package org.lycheemount.budget

import kotlin.math.exp
import kotlin.math.max

/**
 * Measures how fast a router spends one budget and how callers' worst cases compare with their use.
 *
 * @param windowMs time over which the recent rate is averaged.
 */
internal class SpendMeter(
    private val windowMs: Long = DEFAULT_WINDOW_MS,
) {
    private var tokensSinceTick = 0L
    private var lastTickMs: Long? = null
    private var fastPerMs = 0.0

    /** Share of the window that has been measured: below 1 after a start, when an average that began at 0 is too low. */
    private var fastWeight = 0.0
    private var slowPerMs = 0.0

    /** Share of the reserved worst case that requests use, averaged; 1 until known. */
    var useShare = 1.0
        private set

    /** Size of the reservations that hold most of the tokens: their mean, weighted by size. */
    val typicalReservation: Long get() = if (reservedTokens <= 0) largestReservation else (reservedSquares / reservedTokens).toLong()
    private var reservedTokens = 0.0
    private var reservedSquares = 0.0

    /** Largest reservation seen lately. */
    var largestReservation = 0L
        private set
    var lastUseAtMs = Long.MIN_VALUE / 2
        private set

    /** Spend rate in tokens per millisecond: the greater of an average over one window and over ten, so that lulls do not shrink grants. */
    val ratePerMs: Double get() = max(fastPerMs / max(fastWeight, LEAST_WEIGHT), slowPerMs)

    /** Rate of the last window. */
    val recentRatePerMs: Double get() = fastPerMs

    fun recordReservation(
        tokens: Long,
        nowMs: Long,
    ) {
        largestReservation = max(largestReservation, tokens)
        reservedTokens += RESERVATION_WEIGHT * (tokens - reservedTokens)
        reservedSquares += RESERVATION_WEIGHT * (tokens.toDouble() * tokens - reservedSquares)
        lastUseAtMs = max(lastUseAtMs, nowMs)
    }

    fun recordUse(
        tokens: Long,
        worstCaseTokens: Long,
    ) {
        tokensSinceTick += tokens
        if (worstCaseTokens > 0) useShare += USE_SHARE_WEIGHT * (tokens.toDouble() / worstCaseTokens - useShare)
    }

    fun tick(nowMs: Long) {
        val elapsedMs = nowMs - (lastTickMs ?: nowMs)
        if (lastTickMs != null && elapsedMs < TICK_MS) return
        lastTickMs = nowMs
        if (elapsedMs <= 0) return
        val perMs = tokensSinceTick.toDouble() / elapsedMs
        tokensSinceTick = 0
        val weight = 1 - exp(-elapsedMs.toDouble() / windowMs)
        fastPerMs += weight * (perMs - fastPerMs)
        fastWeight += weight * (1 - fastWeight)
        slowPerMs += (1 - exp(-elapsedMs.toDouble() / (windowMs * SLOW_WINDOWS))) * (perMs - slowPerMs)
        largestReservation = (largestReservation * exp(-elapsedMs.toDouble() / (windowMs * SLOW_WINDOWS))).toLong()
    }

    private companion object {
        private const val TICK_MS = 1_000L
        private const val DEFAULT_WINDOW_MS = 60_000L

        /** A shorter part of the window than this tells too little of the rate. */
        private const val LEAST_WEIGHT = 0.3
        private const val SLOW_WINDOWS = 10
        private const val USE_SHARE_WEIGHT = 0.05
        private const val RESERVATION_WEIGHT = 0.05
    }
}
