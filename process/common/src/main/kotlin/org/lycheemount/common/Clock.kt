package org.lycheemount.common

/** Source of time. Code that makes decisions takes times as arguments instead of depending on a clock. */
interface Clock {
    /** Milliseconds since an arbitrary origin; never decreases within a process. */
    fun monotonicMs(): Long

    /** Milliseconds since the Unix epoch; may jump forwards or backwards. */
    fun wallClockMs(): Long
}
