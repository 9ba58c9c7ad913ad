package org.lycheemount.budget

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class SpendMeterTest {
    @Nested
    inner class `the typical reservation` {
        @Test
        fun `is the size of those that hold most of the tokens, not the largest one`() {
            val meter = SpendMeter()
            repeat(100) { meter.recordReservation(if (it % 10 == 0) 12_000 else 1_000, it.toLong()) }
            meter.recordReservation(70_000, 100)
            repeat(100) { meter.recordReservation(if (it % 10 == 0) 12_000 else 1_000, 100L + it) }

            assertTrue(meter.typicalReservation in 2_000..20_000, "${meter.typicalReservation}")
            assertEquals(70_000, meter.largestReservation)
        }
    }
}
