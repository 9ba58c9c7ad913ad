package org.lycheemount.common

/** Source of time. Decision code receives times as arguments instead of holding a clock. */
interface Clock {
    /** Milliseconds since an arbitrary origin; never goes back within a process. */
    fun monotonicMs(): Long

    /** Milliseconds since the Unix epoch; may jump. */
    fun wallClockMs(): Long
}
