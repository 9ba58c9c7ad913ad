package org.lycheemount.budget

import kotlinx.coroutines.delay
import org.junit.jupiter.api.Nested
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.RequestId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class DefaultBudgetLedgerTest {
    @Nested
    inner class `a single router` {
        @Test
        fun `writes its bills and returns unused tokens on drain, guarding against tokens lost at shutdown`() =
            fleetTest { fleet ->
                fleet.createFundedBudget(100_000)
                val router = fleet.start("a")
                assertTrue(router.spend("r1", 300))

                val drained = router.maintenance.drain()

                assertTrue(drained)
                assertEquals(setOf(RequestId("r1")), fleet.writtenBills().keys)
                val status = fleet.status()
                assertEquals(99_700, status.unallocatedTokens)
                assertEquals(300, status.settledTokens)
                assertEquals(emptyList(), status.holders)
            }

        @Test
        fun `bills a request of 0 tokens that is settled after the idle time of its grant, guarding against a bill without a grant`() =
            fleetTest(BudgetOptions(idleReturnMs = 1_000)) { fleet ->
                fleet.createFundedBudget(100_000)
                val router = fleet.start("a")
                router.spend("r1", 300)
                router.reserve("free", 0)
                delay(60_000)

                router.settle("free", 0)
                delay(5_000)

                assertEquals(setOf(RequestId("r1"), RequestId("free")), fleet.writtenBills().keys)
            }

        @Test
        fun `returns the first bill when a request is settled again, guarding against double billing by a retry`() =
            fleetTest { fleet ->
                fleet.createFundedBudget(100_000)
                val router = fleet.start("a")
                router.spend("r1", 300)

                val repeated = router.settle("r1", 200)
                delay(5_000)

                assertEquals(300, repeated.charge.totalTokens)
                assertEquals(300, fleet.status().settledTokens)
            }
    }

    @Nested
    inner class `a malformed message from a peer` {
        @Test
        fun `is ignored, guarding against background work that stops with a decoding error`() =
            fleetTest { fleet ->
                fleet.createFundedBudget(100_000)
                val router = fleet.start("a")
                val peer = fleet.start("b")
                val malformedPayload = byteArrayOf(1, 2, 3)

                for (channel in listOf(TOKENS_CHANNEL, BILLS_CHANNEL)) {
                    peer.messenger.call(router.identity.routerId, channel, malformedPayload, 100)
                }

                assertTrue(router.spend("r1", 300))
                assertTrue(router.maintenance.drain())
            }
    }

    @Nested
    inner class `a refusal` {
        @Test
        fun `reports an exhausted budget only after the whole budget was read, guarding against a 429 while other routers hold tokens`() =
            fleetTest { fleet ->
                fleet.createFundedBudget(1_000)
                val router = fleet.start("a")
                val first = assertIs<ReservationOutcome.Refused>(router.reserve("r1", 900))
                delay(1_000)
                assertTrue(router.spend("r2", 900))
                router.reserve("r3", 900)
                delay(4_000)

                val last = assertIs<ReservationOutcome.Refused>(router.reserve("r3", 900))

                assertEquals(RefusalReason.BUDGET_UNAVAILABLE, first.refusal.reason)
                assertEquals(RefusalReason.BUDGET_EXHAUSTED, last.refusal.reason)
            }
    }

    @Nested
    inner class `a refill whose response is lost` {
        @Test
        fun `is resolved by its transaction id, guarding against tokens counted twice or not at all`() =
            fleetTest { fleet ->
                fleet.createFundedBudget(100_000)
                val router = fleet.start("a")
                fleet.table.dropNextResponses = 1

                assertTrue(router.spend("r1", 300))
                router.maintenance.drain()

                assertEquals(99_700, fleet.status().unallocatedTokens)
            }
    }
}
