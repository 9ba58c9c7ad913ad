package org.lycheemount.budget

import kotlinx.coroutines.delay
import org.junit.jupiter.api.Nested
import org.lycheemount.common.BudgetId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class PredecessorTest {
    private suspend fun predecessorGrant(fleet: BudgetFleet) = fleet.status().holders.single { it.grantId.startsWith("r-1-") }

    private suspend fun startSpendingRouter(fleet: BudgetFleet): BudgetFleet.Router {
        fleet.createFundedBudget(1_000_000)
        val router = fleet.start("r", incarnation = 1, vmName = "vm")
        router.spendSteadily()
        return router
    }

    @Nested
    inner class `a process that is restarted on its VM within the grace` {
        @Test
        fun `reclaims tokens of its predecessor above the ceiling, guarding against tokens left unusable by a restart of all routers`() =
            fleetTest { fleet ->
                val router = startSpendingRouter(fleet)
                val before = predecessorGrant(fleet)

                router.kill()
                delay(2_000)
                fleet.start("r", incarnation = 2, vmName = "vm")
                delay(10_000)

                val after = predecessorGrant(fleet)
                assertTrue(after.reclaimed)
                assertEquals(before.ceilingTokens, after.chargedTokens)
                assertTrue(before.grantedTokens > before.ceilingTokens)
            }
    }

    @Nested
    inner class `a predecessor whose ceiling grows over time` {
        private val options = BudgetOptions(ceilingInitialSpanMs = 10_000)

        private suspend fun chargedTokensAfterRestart(
            fleet: BudgetFleet,
            downtimeMs: Long,
            partitionMs: Long = 0,
        ): Long {
            startSpendingRouter(fleet).kill()
            delay(downtimeMs)
            val successor = fleet.start("r", incarnation = 2, vmName = "vm")
            successor.tableLink.isPartitioned = true
            delay(partitionMs)
            successor.tableLink.isPartitioned = false
            delay(10_000)
            return predecessorGrant(fleet).chargedTokens
        }

        @Test
        fun `is charged fewer tokens after a shorter downtime, guarding against a restart that charges the spend of the whole grace`() {
            var afterShortDowntime = 0L
            var afterLongDowntime = 0L
            fleetTest(options) { fleet -> afterShortDowntime = chargedTokensAfterRestart(fleet, downtimeMs = 2_000) }
            fleetTest(options) { fleet -> afterLongDowntime = chargedTokensAfterRestart(fleet, downtimeMs = 60_000) }

            assertTrue(
                afterShortDowntime < afterLongDowntime,
                "charged $afterShortDowntime tokens after the short downtime, $afterLongDowntime after the long one",
            )
        }

        @Test
        fun `is not charged for the time in which its successor did not reach the table, guarding against a restart during a partition`() {
            var chargedAtOnce = 0L
            var chargedAfterPartition = 0L
            fleetTest(options) { fleet -> chargedAtOnce = chargedTokensAfterRestart(fleet, downtimeMs = 2_000) }
            fleetTest(options) { fleet ->
                chargedAfterPartition = chargedTokensAfterRestart(fleet, downtimeMs = 2_000, partitionMs = 60_000)
            }

            assertEquals(chargedAtOnce, chargedAfterPartition)
        }

        @Test
        fun `is charged at least the tokens that it used, guarding against tokens spent twice`() =
            fleetTest(options) { fleet ->
                val router = startSpendingRouter(fleet)
                router.tableLink.isPartitioned = true
                delay(40_000)
                val account = router.components.accounts.getOrCreate(BUDGET)
                assertTrue(router.spend("above-ceiling", account.usableTokens(fleet.clock.monotonicMs())))
                val used = account.grant?.usedTokens ?: 0

                router.kill()
                delay(2_000)
                fleet.start("r", incarnation = 2, vmName = "vm")
                delay(10_000)

                val after = predecessorGrant(fleet)
                assertTrue(after.reclaimed)
                assertTrue(after.chargedTokens >= used, "charged ${after.chargedTokens} tokens, used $used")
                assertTrue(after.chargedTokens < after.grantedTokens)
            }
    }

    @Nested
    inner class `a process that is restarted on its VM after the grace` {
        @Test
        fun `does not reclaim the grant of its predecessor, guarding against tokens spent twice`() =
            fleetTest { fleet ->
                val router = startSpendingRouter(fleet)
                router.tableLink.isPartitioned = true
                delay(125_000)
                val usable =
                    router.components.accounts
                        .getOrCreate(BUDGET)
                        .usableTokens(fleet.clock.monotonicMs())
                assertTrue(router.spend("above-ceiling", usable))

                router.kill()
                delay(2_000)
                fleet.start("r", incarnation = 2, vmName = "vm")
                delay(30_000)

                assertFalse(predecessorGrant(fleet).reclaimed)
            }
    }

    @Nested
    inner class `limits that a configuration sets` {
        private val limits = mapOf(BUDGET to 50_000L, BudgetId("orders") to 7_000L)

        @Test
        fun `create missing budgets and are replaced by a later change, but not by an earlier one`() =
            fleetTest { fleet ->
                val writer = createBudgetLimitWriter(fleet.table) { "limits-${fleet.table.commitCount}" }

                assertEquals(BudgetChange.Applied(57_000, repeated = false), writer.setLimits(limits, sequence = 3))
                assertEquals(BudgetChange.Applied(57_000, repeated = true), writer.setLimits(limits, sequence = 3))
                writer.setLimits(mapOf(BUDGET to 60_000L), sequence = 5)
                writer.setLimits(mapOf(BUDGET to 50_000L), sequence = 4)

                assertEquals(60_000, fleet.status().limitTokens)
                assertEquals(60_000, fleet.status().unallocatedTokens)
            }

        @Test
        fun `make the unallocated tokens negative when they are below the granted tokens, guarding against further grants`() =
            fleetTest { fleet ->
                val writer = createBudgetLimitWriter(fleet.table) { "limits-${fleet.table.commitCount}" }
                writer.setLimits(mapOf(BUDGET to 100_000L), sequence = 1)
                val router = fleet.start("r")
                assertTrue(router.spend("first", 1_000))
                delay(5_000)
                val granted = fleet.status().grantedTokens

                writer.setLimits(mapOf(BUDGET to granted / 2), sequence = 2)

                assertEquals(granted / 2 - granted, fleet.status().unallocatedTokens)
            }
    }
}
