package org.lycheemount.budget

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Tag
import kotlin.math.pow
import kotlin.test.Test
import kotlin.test.assertTrue

class FleetLossTest {
    /** Teams of different sizes whose budgets cover little more than the traffic before the loss. */
    private class ScarceBudgets(
        private val scope: TestScope,
        private val fleet: BudgetFleet,
    ) {
        val traffic = ThinTraffic(fleet, KINDS, BUDGET_COUNT, plannedSpanMs = BEFORE_LOSS_MS, seed = 1, usableShare = USABLE_SHARE)
        private var incarnation = 0L

        suspend fun start() {
            traffic.fundBudgets()
            startAll()
            delay(FIRST_GRANTS_MS)
        }

        /** Sends traffic for [durationMs] and returns the served share of the coverable requests. */
        suspend fun servedShare(durationMs: Long): Double {
            val fromMs = fleet.clock.monotonicMs()
            traffic.run(scope, durationMs)
            return traffic.servedShareFrom(fromMs)
        }

        suspend fun losePower(downtimeMs: Long) {
            fleet.routers.values
                .toList()
                .forEach { it.kill() }
            delay(downtimeMs)
            startAll()
        }

        fun setTableAvailable(isAvailable: Boolean) {
            fleet.table.isAvailable = isAvailable
        }

        /** Tokens that the table counts as used although no request has used them. */
        suspend fun chargedUnusedTokens(): Long {
            delay(SETTLE_MS)
            return traffic.unusedTokens - traffic.budgetIds.sumOf { remainingTokens(fleet.status(it)) }
        }

        private fun remainingTokens(status: BudgetStatus): Long =
            status.limitTokens - status.closedTokens - status.holders.filter { !it.reclaimed }.sumOf { it.settledTokens }

        private fun startAll() {
            incarnation++
            repeat(ROUTER_COUNT) {
                fleet.start("r$it", incarnation, vmName = "vm$it").maintenance.prefetchGrants(traffic.budgetIds.toSet())
            }
        }
    }

    private fun lossTest(body: suspend (ScarceBudgets) -> Unit) =
        fleetTest(createGatewayBudgetOptions()) { fleet ->
            val budgets = ScarceBudgets(this, fleet)
            budgets.start()
            body(budgets)
        }

    @Nested
    inner class `all routers lose power while budgets are scarce` {
        @Test
        fun `what budgets cover is served again as before, guarding against unused tokens that stay charged to ended processes`() =
            lossTest { budgets ->
                val servedBefore = budgets.servedShare(BEFORE_LOSS_MS)
                budgets.losePower(DOWNTIME_MS)
                budgets.servedShare(RECOVERY_MS)
                val servedAfter = budgets.servedShare(AFTER_RECOVERY_MS)

                assertTrue(servedAfter >= servedBefore - TOLERANCE, "served $servedBefore before the loss, $servedAfter after it")
            }

        @Test
        @Tag("known-red")
        fun `a loss charges few unused tokens, guarding against ceilings that cover much more than what was used`() =
            lossTest { budgets ->
                budgets.servedShare(BEFORE_LOSS_MS)
                val unusedTokens = budgets.traffic.unusedTokens
                budgets.losePower(DOWNTIME_MS)

                val chargedShare = budgets.chargedUnusedTokens().toDouble() / unusedTokens
                assertTrue(chargedShare <= MAX_CHARGED_SHARE, "$chargedShare of the unused tokens were charged")
            }
    }

    @Nested
    inner class `all routers lose power several times while budgets are scarce` {
        @Test
        @Tag("known-red")
        fun `each loss charges few of the unused tokens, guarding against losses that add up to the whole budget`() =
            lossTest { budgets ->
                budgets.servedShare(BEFORE_LOSS_MS - LOSS_COUNT * BETWEEN_LOSSES_MS)
                var leftShare = 1.0
                repeat(LOSS_COUNT) {
                    budgets.servedShare(BETWEEN_LOSSES_MS)
                    val chargedBeforeTokens = budgets.chargedUnusedTokens()
                    val usableTokens = budgets.traffic.unusedTokens - chargedBeforeTokens
                    budgets.losePower(DOWNTIME_MS)
                    leftShare *= 1 - (budgets.chargedUnusedTokens() - chargedBeforeTokens).toDouble() / usableTokens
                }

                assertTrue(leftShare >= (1 - MAX_CHARGED_SHARE).pow(LOSS_COUNT), "$leftShare of the unused tokens are left")
            }
    }

    @Nested
    inner class `all routers lose power while the table has been silent for longer than the outage grace` {
        @Test
        @Tag("known-red")
        fun `what budgets cover is served again as before, guarding against ceilings that no longer bind when the fleet ends`() =
            lossTest { budgets ->
                val servedBefore = budgets.servedShare(BEFORE_LOSS_MS)
                budgets.setTableAvailable(false)
                budgets.servedShare(OUTAGE_MS)
                budgets.losePower(DOWNTIME_MS)
                budgets.setTableAvailable(true)
                budgets.servedShare(RECOVERY_MS)
                val servedAfter = budgets.servedShare(AFTER_RECOVERY_MS)

                assertTrue(servedAfter >= servedBefore - TOLERANCE, "served $servedBefore before the loss, $servedAfter after it")
            }
    }

    private companion object {
        private const val ROUTER_COUNT = 7
        private const val BUDGET_COUNT = 10
        private const val FIRST_GRANTS_MS = 5_000L
        private const val BEFORE_LOSS_MS = 41_000L
        private const val DOWNTIME_MS = 2_300L
        private const val RECOVERY_MS = 12_000L
        private const val AFTER_RECOVERY_MS = 5_000L
        private const val BETWEEN_LOSSES_MS = 5_000L
        private const val LOSS_COUNT = 3
        private const val OUTAGE_MS = 8_000L
        private const val SETTLE_MS = 10_000L

        /** Part of a budget that callers can count on; the platform allows the rest to be out of reach. */
        private const val USABLE_SHARE = 0.97
        private const val TOLERANCE = 0.03
        private const val MAX_CHARGED_SHARE = 0.1

        private val KINDS =
            listOf(
                RequestKind(perSecond = 7.4, meanTokens = 12_400.0, maxTokens = 60_000, waitMs = 101),
                RequestKind(perSecond = 25.1, meanTokens = 1_100.0, maxTokens = 10_000, waitMs = 60),
                RequestKind(perSecond = 14.3, meanTokens = 2_400.0, maxTokens = 10_000, waitMs = 120),
            )
    }
}
