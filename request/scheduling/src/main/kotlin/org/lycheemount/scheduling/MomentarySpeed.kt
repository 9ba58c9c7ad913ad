package org.lycheemount.scheduling

import kotlin.math.exp

// A slow spell lasts about 600 ms, so a report catches it with 300 ms left on average.
private const val DECAY_MS = 300.0

/**
 * How long work takes on one server now, by what it has last reported.
 *
 * Handles servers that share their machine with others and are slow for some hundred milliseconds at a time. A report decays to
 * the usual time, so that a server of which nothing more is heard is not avoided for longer than it is likely to be slow.
 */
internal class MomentarySpeed {
    private var excess = 0.0
    private var reportedAtMs = 0L

    /** Applies a report that was made at [atMs], a monotonic time. */
    fun onReport(
        workTime: WorkTimeFactor,
        atMs: Long,
    ) {
        excess = workTime.ratio - 1
        reportedAtMs = atMs
    }

    /** Expected time of work as a multiple of the usual; 1 without a report. */
    fun workTimeFactor(nowMs: Long): Double = if (excess == 0.0) 1.0 else 1 + excess * exp(-maxOf(0L, nowMs - reportedAtMs) / DECAY_MS)
}
