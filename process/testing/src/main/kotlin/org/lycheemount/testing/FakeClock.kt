package org.lycheemount.testing

import org.lycheemount.common.Clock

/** Clock that advances only when a test advances it. */
class FakeClock(
    @Volatile var nowMs: Long = 0,
    private val wallClockOffsetMs: Long = 1_700_000_000_000,
) : Clock {
    override fun monotonicMs(): Long = nowMs

    override fun wallClockMs(): Long = wallClockOffsetMs + nowMs

    /** Advances the clock by [byMs] milliseconds. */
    fun advance(byMs: Long) {
        nowMs += byMs
    }
}
