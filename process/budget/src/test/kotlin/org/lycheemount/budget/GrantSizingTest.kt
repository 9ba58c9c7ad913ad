package org.lycheemount.budget

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class GrantSizingTest {
    private val equalShares = BudgetOptions(expectedOutageMs = 8_000, targetFreeReservations = 1.0, holdsEqualShare = true)
    private val demandShares = equalShares.copy(demandShare = 0.5)

    /** A router that spends 10,000 tokens/s of a budget that the other six routers hardly use. */
    private fun busy(freeTokens: Long) =
        GrantDemand(freeTokens, ratePerMs = 10.0, largestReservationTokens = 5_000, unmetDemandTokens = 0, routers = 7)

    @Nested
    inner class `a team whose callers keep to one router` {
        @Test
        fun `lasts an outage there, which an equal share of the budget does not`() {
            val outageTokens = 8_000 * 10L

            assertTrue(refillTokens(busy(0), unallocatedTokens = 400_000, equalShares) < outageTokens)
            assertTrue(refillTokens(busy(0), unallocatedTokens = 400_000, demandShares) >= outageTokens)
        }

        @Test
        fun `takes no more than its measured spend asks for`() {
            assertEquals(120_000, refillTokens(busy(0), unallocatedTokens = 400_000, demandShares))
            assertEquals(0, refillTokens(busy(119_000), unallocatedTokens = 400_000, demandShares))
        }

        @Test
        fun `leaves half of what is left, guarding against one router that takes the rest of a budget`() {
            assertEquals(50_000, refillTokens(busy(0), unallocatedTokens = 100_000, demandShares))
        }
    }

    @Nested
    inner class `a router that has not spent` {
        @Test
        fun `holds its equal share`() {
            val idle = GrantDemand(0, ratePerMs = 0.0, largestReservationTokens = 2_000, unmetDemandTokens = 0, routers = 7)

            assertEquals(50_000, refillTokens(idle, unallocatedTokens = 400_000, demandShares))
        }
    }
}
