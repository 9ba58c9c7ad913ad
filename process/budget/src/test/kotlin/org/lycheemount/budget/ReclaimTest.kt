package org.lycheemount.budget

import kotlinx.coroutines.delay
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue

class ReclaimTest {
    private suspend fun holderOf(fleet: BudgetFleet) = fleet.status().holders.single { it.routerId.value == "holder" }

    /** Starts a holder with a large grant and little use, and a second router that may reclaim it. */
    private suspend fun holderAndPeer(fleet: BudgetFleet): BudgetFleet.Router {
        fleet.fund(1_000_000)
        val holder = fleet.start("holder")
        fleet.start("peer")
        holder.spendSteadily()
        return holder
    }

    @Nested
    inner class `a holder whose VM leaves the list within the grace` {
        @Test
        fun `loses what lies above its ceiling, guarding against tokens stranded by every death`() =
            fleetTest { fleet ->
                val holder = holderAndPeer(fleet)
                val before = holderOf(fleet)

                holder.killAndUnlist(lagMs = 30_000)
                delay(30_000)

                val after = holderOf(fleet)
                assertTrue(after.reclaimed)
                assertEquals(before.ceilingTokens, after.chargedTokens)
                assertTrue(before.grantedTokens > before.ceilingTokens)
                assertEquals(1_000_000 - before.ceilingTokens, fleet.status().unallocatedTokens)
            }
    }

    @Nested
    inner class `a holder that may have passed its ceiling` {
        @Test
        fun `keeps its grant when its VM left the list after the grace, guarding against tokens spent twice`() =
            fleetTest { fleet ->
                val holder = holderAndPeer(fleet)

                holder.killAndUnlist(lagMs = 130_000)
                delay(60_000)

                assertFalse(holderOf(fleet).reclaimed)
            }

        @Test
        fun `keeps its grant when it spent without the table before it died`() =
            fleetTest { fleet ->
                val holder = holderAndPeer(fleet)
                holder.link.isPartitioned = true
                delay(125_000)
                val usable =
                    holder.components.accounts
                        .getOrCreate(BUDGET)
                        .usableTokens(fleet.clock.monotonicMs())
                assertTrue(holder.spend("beyond", usable))

                holder.killAndUnlist(lagMs = 1_000)
                delay(60_000)

                assertFalse(holderOf(fleet).reclaimed)
            }

        @Test
        fun `keeps its grant while it is paused and listed`() =
            fleetTest { fleet ->
                val holder = holderAndPeer(fleet)

                holder.dispatcher.pause()
                delay(3_600_000)

                assertFalse(holderOf(fleet).reclaimed)
            }
    }

    @Nested
    inner class `a holder without answers` {
        @Test
        fun `stays within the lower ceiling of a write in doubt, guarding against a write that took effect unseen`() =
            fleetTest { fleet ->
                val holder = holderAndPeer(fleet)
                holder.link.droppedResponseShare = 1.0
                delay(3_000)
                val row = holderOf(fleet)

                holder.link.isPartitioned = true
                delay(100_000)
                val account = holder.components.accounts.getOrCreate(BUDGET)
                val grant = checkNotNull(account.grant)
                val usable = account.usableTokens(fleet.clock.monotonicMs())

                assertTrue(grant.usedTokens + usable <= row.ceilingTokens)
            }

        @Test
        fun `passes its ceiling only after the grace, guarding against refusals for the rest of an outage`() =
            fleetTest { fleet ->
                val holder = holderAndPeer(fleet)
                val row = holderOf(fleet)
                val capacity = row.grantedTokens - row.settledTokens
                holder.link.isPartitioned = true

                delay(115_000)
                val early = holder.reserve("early", capacity)
                delay(10_000)
                val late = holder.reserve("late", capacity)

                assertIs<ReservationOutcome.Refused>(early)
                assertIs<ReservationOutcome.Reserved>(late)
            }
    }

    @Nested
    inner class `a VM that was never listed` {
        @Test
        fun `is not taken for gone, guarding against a list that lags behind a new VM`() =
            fleetTest { fleet ->
                fleet.fund(1_000_000)
                val holder = fleet.start("holder", listed = false)
                delay(1_000)
                assertTrue(holder.spend("r1", 1_000))
                fleet.start("peer")
                delay(60_000)

                assertFalse(holderOf(fleet).reclaimed)
            }
    }

    @Nested
    inner class `a bill that arrives after the reclaim` {
        @Test
        fun `is written and charged under the ceiling once`() =
            fleetTest { fleet ->
                val holder = holderAndPeer(fleet)
                holder.link.isPartitioned = true
                assertTrue(holder.spend("late", 500))
                delay(1_000)
                val limit = fleet.status().limitTokens

                holder.killAndUnlist(lagMs = 20_000)
                delay(60_000)

                val status = fleet.status()
                assertEquals(201, fleet.writtenBills().size)
                assertEquals(200_500, holderOf(fleet).settledTokens)
                assertEquals(limit, status.unallocatedTokens + status.closedTokens + status.transferTokens + status.grantedTokens)
            }
    }
}
