package org.lycheemount.common

/** Clock based on the system clock of the JVM. */
class DefaultClock : Clock {
    override fun monotonicMs(): Long = System.nanoTime() / NANOS_PER_MS

    override fun wallClockMs(): Long = System.currentTimeMillis()

    private companion object {
        private const val NANOS_PER_MS = 1_000_000L
    }
}
