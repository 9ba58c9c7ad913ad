package org.lycheemount.measure

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against wrong slopes and percentiles, which would go into docs/CAPACITY.md unnoticed. */
class LinearFitTest {
    @Nested
    inner class `a fit` {
        @Test
        fun `returns slope and intercept of points on a line`() {
            val fit = fitLine(listOf(7.0 to 31.0, 50.0 to 160.0, 600.0 to 1810.0))

            assertEquals(3.0, fit.slope, 1e-9)
            assertEquals(10.0, fit.intercept, 1e-9)
            assertEquals(1.0, fit.rSquared, 1e-9)
            assertEquals(2110.0, fit.valueAt(700.0), 1e-6)
        }

        @Test
        fun `has a low R squared if the points are not on a line`() {
            val fit = fitLine(listOf(0.0 to 1.0, 1.0 to -1.0, 2.0 to 1.0, 3.0 to -1.0))

            assertTrue(fit.rSquared < 0.3, "R squared: ${fit.rSquared}")
        }

        @Test
        fun `rejects points with a single x value instead of dividing by zero`() {
            assertFailsWith<IllegalArgumentException> { fitLine(listOf(5.0 to 1.0, 5.0 to 2.0)) }
        }
    }

    @Nested
    inner class `a percentile by nearest rank` {
        @Test
        fun `is one of the values, the maximum at 1, and null without values`() {
            val values = (1L..100L).shuffled(kotlin.random.Random(1))

            assertEquals(50L, percentile(values, 0.5))
            assertEquals(99L, percentile(values, 0.99))
            assertEquals(100L, percentile(values, 1.0))
            assertNull(percentile(emptyList(), 0.5))
        }
    }
}
