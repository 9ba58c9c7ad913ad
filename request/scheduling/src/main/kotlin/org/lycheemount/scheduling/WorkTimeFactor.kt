package org.lycheemount.scheduling

private const val MIN_RATIO = 0.1
private const val MAX_RATIO = 100.0
private const val HUNDREDTHS = 100.0

/**
 * How long work takes on a server's machine at a moment, as a multiple of the usual time: 1 as usual, 2 twice as long.
 *
 * @property ratio from 0.1 to 100.
 */
@JvmInline
value class WorkTimeFactor private constructor(
    val ratio: Double,
) {
    /** Creates factors from the figures of servers. */
    companion object {
        /** Returns the factor of [hundredths] of the usual time, or null if it is no number or out of range. */
        fun ofHundredths(hundredths: Double): WorkTimeFactor? =
            (hundredths / HUNDREDTHS).takeIf { it in MIN_RATIO..MAX_RATIO }?.let(::WorkTimeFactor)
    }
}
