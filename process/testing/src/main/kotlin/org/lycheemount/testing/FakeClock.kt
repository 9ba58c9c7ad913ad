package org.lycheemount.testing

import org.lycheemount.common.Clock

/** Clock that moves only when a test moves it. */
class FakeClock(
    var nowMs: Long = 0,
    private val wallClockOffsetMs: Long = 1_700_000_000_000,
) : Clock {
    override fun monotonicMs(): Long = nowMs

    override fun wallClockMs(): Long = wallClockOffsetMs + nowMs

    /** Moves the clock forward. */
    fun advance(byMs: Long) {
        nowMs += byMs
    }
}
