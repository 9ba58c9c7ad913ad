package org.lycheemount.listener

/** Returns the monotonic time of this process in milliseconds. */
internal fun monotonicMs(): Long = System.nanoTime() / NS_PER_MS

private const val NS_PER_MS = 1_000_000L
