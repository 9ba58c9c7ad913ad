package org.lycheemount.scheduling

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class MeasuredSlowdownTest {
    private val slowdown = MeasuredSlowdown()

    @Nested
    inner class `a server that its slowdown leaves out of the choice` {
        @Test
        fun `is measured by a tenth of the time of its equal share at most, whatever its speed`() {
            for (ratio in listOf(1.2, 1.5, 2.5, 4.0)) {
                val measured = MeasuredSlowdown()
                repeat(50) { measured.onSample(ratio) }
                val measurements = measurementsOf(measured, ratio, requests = 3_000)

                assertTrue(measurements * (ratio - 1) <= 0.1 * 1_000, "$measurements of 1,000 requests of its share at $ratio")
                assertTrue(measurements > 0, "never measured at $ratio")
            }
        }

        /** Requests among those of three equally used servers that go to the one that is slow by [ratio]. */
        private fun measurementsOf(
            measured: MeasuredSlowdown,
            ratio: Double,
            requests: Int,
        ): Int =
            (1..requests).count {
                val isDue = measured.costFactor == 1.0
                if (isDue) {
                    measured.onChosen()
                    measured.onSample(ratio)
                } else {
                    measured.onMissed(share = 1.0 / 3)
                }
                isDue
            }

        @Test
        fun `has its usual cost soon after its first usual time, guarding against a mean that follows one request in many`() {
            repeat(50) { slowdown.onSample(2.0) }
            repeat(30) { slowdown.onMissed(share = 1.0 / 3) }
            slowdown.onChosen()
            slowdown.onSample(1.0)

            assertTrue(slowdown.costFactor < 1.1, "${slowdown.costFactor}")
        }
    }

    @Nested
    inner class `a server that is always in the choice` {
        @Test
        fun `is measured by the moving average that ejection uses`() {
            slowdown.onChosen()
            slowdown.onSample(2.0)
            slowdown.onChosen()
            slowdown.onSample(2.0)

            assertEquals(1.36, slowdown.costFactor, 1e-9)
        }
    }
}
