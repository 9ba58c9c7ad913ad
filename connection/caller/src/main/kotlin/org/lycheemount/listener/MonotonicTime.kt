package org.lycheemount.listener

import org.lycheemount.common.DefaultClock

/** Returns the monotonic time of this process in milliseconds. */
internal fun monotonicMs(): Long = clock.monotonicMs()

private val clock = DefaultClock()
