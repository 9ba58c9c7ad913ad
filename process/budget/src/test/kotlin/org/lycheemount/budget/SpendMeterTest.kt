package org.lycheemount.budget

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class SpendMeterTest {
    @Nested
    inner class `the rate of a router that has just started` {
        private fun rateAfter(seconds: Int): Double {
            val meter = SpendMeter(windowMs = 5_000)
            meter.tick(0)
            for (second in 1..seconds) {
                meter.recordUse(2_000, worstCaseTokens = 4_000)
                meter.tick(second * 1_000L)
            }
            return meter.ratePerMs
        }

        @Test
        fun `is not lowered by the time before the start, guarding against low ceilings in an outage soon after a start`() {
            assertEquals(2.0, rateAfter(seconds = 3), absoluteTolerance = 0.01)
        }

        @Test
        fun `does not count idle time before the first use as measured, guarding against low ceilings at the start of traffic`() {
            val meter = SpendMeter(windowMs = 5_000)
            for (second in 0..15) meter.tick(second * 1_000L)

            assertEquals(0.0, meter.measuredShare)
        }

        @Test
        fun `is not scaled up from a single second, guarding against grants sized by one burst`() {
            assertTrue(rateAfter(seconds = 1) < 1.5)
        }
    }

    @Nested
    inner class `the typical reservation` {
        @Test
        fun `is the size of the reservations that hold most of the tokens, not the largest size`() {
            val meter = SpendMeter()
            repeat(100) { meter.recordReservation(if (it % 10 == 0) 12_000 else 1_000, it.toLong()) }
            meter.recordReservation(70_000, 100)
            repeat(100) { meter.recordReservation(if (it % 10 == 0) 12_000 else 1_000, 100L + it) }

            assertTrue(meter.typicalReservationTokens in 2_000..20_000, "typical reservation: ${meter.typicalReservationTokens} tokens")
            assertEquals(70_000, meter.largestReservationTokens)
        }
    }
}
