package org.lycheemount.budget

import kotlinx.coroutines.delay
import org.junit.jupiter.api.Nested
import org.lycheemount.common.BudgetId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class PredecessorTest {
    private suspend fun earlierGrant(fleet: BudgetFleet) = fleet.status().holders.single { it.grantId.startsWith("r-1-") }

    private suspend fun spendingRouter(fleet: BudgetFleet): BudgetFleet.Router {
        fleet.fund(1_000_000)
        val router = fleet.start("r", incarnation = 1, vmName = "vm")
        router.spendSteadily()
        return router
    }

    @Nested
    inner class `a process that is restarted on its VM within the grace` {
        @Test
        fun `gives back what its predecessor held above the ceiling, guarding against a budget that a mass restart strands`() =
            fleetTest { fleet ->
                val router = spendingRouter(fleet)
                val before = earlierGrant(fleet)

                router.kill()
                delay(2_000)
                fleet.start("r", incarnation = 2, vmName = "vm")
                delay(10_000)

                val after = earlierGrant(fleet)
                assertTrue(after.reclaimed)
                assertEquals(before.ceilingTokens, after.chargedTokens)
                assertTrue(before.grantedTokens > before.ceilingTokens)
            }
    }

    @Nested
    inner class `a process whose ceiling grows` {
        private val options = BudgetOptions(ceilingInitialSpanMs = 10_000)

        private suspend fun chargedAfter(
            fleet: BudgetFleet,
            downMs: Long,
        ): Long {
            spendingRouter(fleet).kill()
            delay(downMs)
            fleet.start("r", incarnation = 2, vmName = "vm")
            delay(10_000)
            return earlierGrant(fleet).chargedTokens
        }

        @Test
        fun `costs less the sooner it is restarted, guarding against a mass restart that charges the spend of the whole grace`() {
            var sooner = 0L
            var later = 0L
            fleetTest(options) { fleet -> sooner = chargedAfter(fleet, downMs = 2_000) }
            fleetTest(options) { fleet -> later = chargedAfter(fleet, downMs = 60_000) }

            assertTrue(sooner < later, "$sooner $later")
        }

        @Test
        fun `is charged for no less than it could use, guarding against tokens spent twice`() =
            fleetTest(options) { fleet ->
                val router = spendingRouter(fleet)
                router.link.isPartitioned = true
                delay(40_000)
                val account = router.components.accounts.getOrCreate(BUDGET)
                assertTrue(router.spend("beyond", account.usableTokens(fleet.clock.monotonicMs())))
                val used = account.grant?.usedTokens ?: 0

                router.kill()
                delay(2_000)
                fleet.start("r", incarnation = 2, vmName = "vm")
                delay(10_000)

                val after = earlierGrant(fleet)
                assertTrue(after.reclaimed)
                assertTrue(after.chargedTokens >= used, "${after.chargedTokens} $used")
                assertTrue(after.chargedTokens < after.grantedTokens)
            }
    }

    @Nested
    inner class `a process that is restarted on its VM after the grace` {
        @Test
        fun `leaves the grant of its predecessor as it is, guarding against tokens spent twice`() =
            fleetTest { fleet ->
                val router = spendingRouter(fleet)
                router.link.isPartitioned = true
                delay(125_000)
                val usable =
                    router.components.accounts
                        .getOrCreate(BUDGET)
                        .usableTokens(fleet.clock.monotonicMs())
                assertTrue(router.spend("beyond", usable))

                router.kill()
                delay(2_000)
                fleet.start("r", incarnation = 2, vmName = "vm")
                delay(30_000)

                assertFalse(earlierGrant(fleet).reclaimed)
            }
    }

    @Nested
    inner class `limits of a configuration` {
        private val limits = mapOf(BUDGET to 50_000L, BudgetId("orders") to 7_000L)

        @Test
        fun `create budgets, rise with later changes and never go back`() =
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
        fun `below what is granted already leave nothing to grant until grants return`() =
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
