package org.lycheemount.budget

import kotlinx.coroutines.delay
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertTrue

class FleetRestartTest {
    /** Sends the same traffic to all routers and counts what is served. */
    private class Traffic(
        private val fleet: BudgetFleet,
    ) {
        private var requestCount = 0
        var spentTokens = 0L
            private set

        /** Sends requests for [durationMs] and returns the share of them that is served. */
        suspend fun servedShare(durationMs: Long): Double {
            var served = 0
            var sent = 0
            repeat((durationMs / INTERVAL_MS).toInt()) {
                for (router in fleet.routers.values.toList()) {
                    sent++
                    if (router.reserve("request-${++requestCount}", REQUEST_TOKENS) is ReservationOutcome.Reserved) {
                        router.settle("request-$requestCount", REQUEST_TOKENS)
                        spentTokens += REQUEST_TOKENS
                        served++
                    }
                }
                delay(INTERVAL_MS)
            }
            return served.toDouble() / sent
        }
    }

    private fun startAll(
        fleet: BudgetFleet,
        incarnation: Long,
    ) = repeat(ROUTER_COUNT) { fleet.start("r$it", incarnation, vmName = "vm$it").maintenance.prefetchGrants(setOf(BUDGET)) }

    @Nested
    inner class `all routers are restarted after a table outage that was longer than the outage grace` {
        @Test
        fun `the fleet serves again, guarding against unspent tokens that stay charged to the grants of ended processes`() =
            fleetTest(createGatewayBudgetOptions()) { fleet ->
                fleet.createFundedBudget(BUDGET_TOKENS)
                startAll(fleet, incarnation = 1)
                val traffic = Traffic(fleet)
                delay(5_000)
                val servedBefore = traffic.servedShare(20_000)

                fleet.table.isAvailable = false
                traffic.servedShare(OUTAGE_MS)
                fleet.routers.values
                    .toList()
                    .forEach { it.kill() }
                delay(DOWNTIME_MS)
                fleet.table.isAvailable = true
                startAll(fleet, incarnation = 2)
                traffic.servedShare(RECOVERY_MS)
                val servedAfter = traffic.servedShare(5_000)

                assertTrue(servedBefore >= MIN_SERVED_SHARE, "served $servedBefore before the outage")
                assertTrue(servedAfter >= MIN_SERVED_SHARE, "served $servedAfter after the restart, ${fleet.status()}")
                val endedGrants = fleet.status().holders.filter { "-1-" in it.grantId }
                assertTrue(endedGrants.all { it.reclaimed }, "grants of ended processes: $endedGrants")
                val returnedTokens = endedGrants.sumOf { it.grantedTokens - it.chargedTokens }
                assertTrue(returnedTokens >= TRAFFIC_TOKENS_IN_OUTAGE, "$returnedTokens tokens are back")
                assertTrue(traffic.spentTokens <= BUDGET_TOKENS, "spent ${traffic.spentTokens} of $BUDGET_TOKENS tokens")
            }
    }

    private companion object {
        private const val ROUTER_COUNT = 7
        private const val REQUEST_TOKENS = 2_000L
        private const val INTERVAL_MS = 500L

        private const val BUDGET_TOKENS = 4_000_000L
        private const val OUTAGE_MS = 8_000L
        private const val DOWNTIME_MS = 1_200L
        private const val RECOVERY_MS = 12_000L
        private const val TRAFFIC_TOKENS_IN_OUTAGE = ROUTER_COUNT * REQUEST_TOKENS * OUTAGE_MS / INTERVAL_MS

        /** The least share of requests that must be served once a fleet has had time to recover. */
        private const val MIN_SERVED_SHARE = 0.25
    }
}
