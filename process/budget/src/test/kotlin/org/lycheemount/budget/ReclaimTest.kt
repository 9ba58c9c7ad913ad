package org.lycheemount.budget

import kotlinx.coroutines.delay
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue

class ReclaimTest {
    private suspend fun holderGrant(fleet: BudgetFleet) = fleet.status().holders.single { it.routerId.value == "holder" }

    /** Starts a holder with a large grant and little use, and a second router that may reclaim it. */
    private suspend fun startHolderAndPeer(fleet: BudgetFleet): BudgetFleet.Router {
        fleet.createFundedBudget(1_000_000)
        val holder = fleet.start("holder")
        fleet.start("peer")
        holder.spendSteadily()
        return holder
    }

    @Nested
    inner class `a holder whose VM is removed from the VM list within the grace` {
        @Test
        fun `is charged up to its ceiling and loses the other tokens, guarding against tokens left unusable by each router failure`() =
            fleetTest { fleet ->
                val holder = startHolderAndPeer(fleet)
                val before = holderGrant(fleet)

                holder.killAndUnlist(lagMs = 30_000)
                delay(30_000)

                val after = holderGrant(fleet)
                assertTrue(after.reclaimed)
                assertEquals(before.ceilingTokens, after.chargedTokens)
                assertTrue(before.grantedTokens > before.ceilingTokens)
                assertEquals(1_000_000 - before.ceilingTokens, fleet.status().unallocatedTokens)
            }
    }

    @Nested
    inner class `a holder that may have exceeded its ceiling` {
        @Test
        fun `keeps its grant when its VM is removed from the VM list after the grace, guarding against tokens spent twice`() =
            fleetTest { fleet ->
                val holder = startHolderAndPeer(fleet)

                holder.killAndUnlist(lagMs = 130_000)
                delay(60_000)

                assertFalse(holderGrant(fleet).reclaimed)
            }

        @Test
        fun `keeps its grant when it spent tokens after the grace, without table contact, and then crashed`() =
            fleetTest { fleet ->
                val holder = startHolderAndPeer(fleet)
                holder.tableLink.isPartitioned = true
                delay(125_000)
                val usable =
                    holder.components.accounts
                        .getOrCreate(BUDGET)
                        .usableTokens(fleet.clock.monotonicMs())
                assertTrue(holder.spend("above-ceiling", usable))

                holder.killAndUnlist(lagMs = 1_000)
                delay(60_000)

                assertFalse(holderGrant(fleet).reclaimed)
            }

        @Test
        fun `keeps its grant while it is paused and its VM is listed`() =
            fleetTest { fleet ->
                val holder = startHolderAndPeer(fleet)

                holder.dispatcher.pause()
                delay(3_600_000)

                assertFalse(holderGrant(fleet).reclaimed)
            }
    }

    @Nested
    inner class `a holder that receives no table responses` {
        @Test
        fun `stays within the lower ceiling of a pending write, guarding against a committed write whose response is lost`() =
            fleetTest { fleet ->
                val holder = startHolderAndPeer(fleet)
                holder.tableLink.droppedResponseShare = 1.0
                delay(3_000)
                val row = holderGrant(fleet)

                holder.tableLink.isPartitioned = true
                delay(100_000)
                val account = holder.components.accounts.getOrCreate(BUDGET)
                val grant = checkNotNull(account.grant)
                val usable = account.usableTokens(fleet.clock.monotonicMs())

                assertTrue(grant.usedTokens + usable <= row.ceilingTokens)
            }

        @Test
        fun `may exceed its ceiling only after the grace, guarding against refusals for the rest of an outage`() =
            fleetTest { fleet ->
                val holder = startHolderAndPeer(fleet)
                val row = holderGrant(fleet)
                val capacity = row.grantedTokens - row.settledTokens
                holder.tableLink.isPartitioned = true

                delay(115_000)
                val beforeGraceEnds = holder.reserve("before-grace-ends", capacity)
                delay(10_000)
                val afterGrace = holder.reserve("after-grace", capacity)

                assertIs<ReservationOutcome.Refused>(beforeGraceEnds)
                assertIs<ReservationOutcome.Reserved>(afterGrace)
            }
    }

    @Nested
    inner class `a VM that was never listed` {
        @Test
        fun `is not considered gone, guarding against a VM list that lags behind a new VM`() =
            fleetTest { fleet ->
                fleet.createFundedBudget(1_000_000)
                val holder = fleet.start("holder", listed = false)
                delay(1_000)
                assertTrue(holder.spend("r1", 1_000))
                fleet.start("peer")
                delay(60_000)

                assertFalse(holderGrant(fleet).reclaimed)
            }
    }

    @Nested
    inner class `a replicated bill that is written after the reclaim` {
        @Test
        fun `is counted once and does not add to the charge of the reclaimed grant`() =
            fleetTest { fleet ->
                val holder = startHolderAndPeer(fleet)
                holder.tableLink.isPartitioned = true
                assertTrue(holder.spend("unwritten", 500))
                delay(1_000)
                val limit = fleet.status().limitTokens

                holder.killAndUnlist(lagMs = 20_000)
                delay(60_000)

                val status = fleet.status()
                assertEquals(201, fleet.writtenBills().size)
                assertEquals(200_500, holderGrant(fleet).settledTokens)
                assertEquals(limit, status.unallocatedTokens + status.closedTokens + status.transferTokens + status.grantedTokens)
            }
    }
}
