package org.lycheemount.common

/** Clock of the Java virtual machine. */
class DefaultClock : Clock {
    override fun monotonicMs(): Long = System.nanoTime() / NANOS_PER_MS

    override fun wallClockMs(): Long = System.currentTimeMillis()

    private companion object {
        private const val NANOS_PER_MS = 1_000_000L
    }
}
