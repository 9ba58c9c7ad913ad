package org.lycheemount.budget

import kotlinx.coroutines.delay
import org.junit.jupiter.api.Nested
import org.lycheemount.testing.SerialPartitionTable
import kotlin.test.Test
import kotlin.test.assertTrue

class LargeRequestRefusalTest {
    /** Starts routers at short intervals and lets them take their first grants. */
    private suspend fun startRouters(
        fleet: BudgetFleet,
        traffic: ThinTraffic,
        count: Int,
    ) {
        repeat(count) {
            fleet.start("r$it").maintenance.prefetchGrants(traffic.budgetIds.toSet())
            delay(START_INTERVAL_MS)
        }
        delay(FIRST_GRANTS_MS)
    }

    @Nested
    inner class `a fleet of 95 routers that each see few requests of a budget` {
        @Test
        fun `serves large requests that the budget as a whole covers, guarding against refusals while tokens are idle`() =
            fleetTest(createGatewayBudgetOptions(), serveTable = {
                table,
                clock,
                ->
                SerialPartitionTable(table, clock, PARTITION_PER_SECOND)
            }) { fleet ->
                val traffic = ThinTraffic(fleet, KINDS, BUDGET_COUNT, plannedSpanMs = 34_000, seed = 1)
                traffic.fundBudgets()
                startRouters(fleet, traffic, ROUTER_COUNT)
                traffic.run(this, TRAFFIC_MS)

                assertTrue(traffic.servedShareOfLargest(0.1) >= MIN_SERVED_SHARE, traffic.describe())
                assertTrue(traffic.servedShareOfLargest(1.0) >= MIN_SERVED_SHARE, traffic.describe())
            }
    }

    @Nested
    inner class `a budget of which each of 40 routers holds little` {
        @Test
        fun `covers a large request without the table, guarding against a wait for a few peers one after the other`() =
            fleetTest(createGatewayBudgetOptions()) { fleet ->
                fleet.createFundedBudget(SPREAD_TOKENS)
                repeat(SPREAD_ROUTERS) { fleet.start("r$it").maintenance.prefetchGrants(setOf(BUDGET)) }
                delay(FIRST_GRANTS_MS)
                fleet.table.isAvailable = false
                val router = fleet.routers.getValue("r0")

                assertTrue(router.reserve("large", LARGE_TOKENS) is ReservationOutcome.Refused)
                router.maintenance.awaitTokens(BUDGET, LARGE_TOKENS, LARGE_WAIT_MS)
                val outcome = router.reserve("large", LARGE_TOKENS)
                assertTrue(outcome is ReservationOutcome.Reserved, "$outcome")
            }
    }

    @Nested
    inner class `a budget whose rest is held by one of seven routers` {
        @Test
        fun `covers a request at another router at once, guarding against peers that are each asked for an equal part only`() =
            fleetTest(createGatewayBudgetOptions()) { fleet ->
                fleet.createFundedBudget(UNEVEN_TOKENS)
                repeat(UNEVEN_ROUTERS) { fleet.start("r$it").maintenance.prefetchGrants(setOf(BUDGET)) }
                delay(FIRST_GRANTS_MS)
                fleet.table.isAvailable = false
                // Ceilings no longer hold the grants back.
                delay(LONG_OUTAGE_MS)
                val routers = fleet.routers.values.toList()
                for (router in routers.drop(1).dropLast(1)) {
                    val grant =
                        checkNotNull(
                            router.components.accounts
                                .getOrCreate(BUDGET)
                                .grant,
                        )
                    router.reserve("rest-${router.identity.routerId.value}", grant.usableTokens(fleet.clock.monotonicMs()))
                }
                val lastGrant =
                    checkNotNull(
                        routers
                            .last()
                            .components.accounts
                            .getOrCreate(BUDGET)
                            .grant,
                    )
                val router = routers.first()
                val ownTokens =
                    checkNotNull(
                        router.components.accounts
                            .getOrCreate(BUDGET)
                            .grant,
                    ).usableTokens(fleet.clock.monotonicMs())
                val tokens = ownTokens + lastGrant.usableTokens(fleet.clock.monotonicMs()) * 9 / 10

                assertTrue(router.reserve("large", tokens) is ReservationOutcome.Refused)
                router.maintenance.awaitTokens(BUDGET, tokens, UNEVEN_WAIT_MS)
                val outcome = router.reserve("large", tokens)
                assertTrue(outcome is ReservationOutcome.Reserved, "$outcome")
            }
    }

    private companion object {
        private const val ROUTER_COUNT = 95
        private const val BUDGET_COUNT = 40
        private const val PARTITION_PER_SECOND = 300
        private const val START_INTERVAL_MS = 10L
        private const val FIRST_GRANTS_MS = 10_000L
        private const val TRAFFIC_MS = 15_000L
        private const val MIN_SERVED_SHARE = 0.95

        private const val SPREAD_ROUTERS = 40
        private const val SPREAD_TOKENS = 200_000L
        private const val LARGE_TOKENS = 30_000L
        private const val LARGE_WAIT_MS = 100L

        private const val UNEVEN_ROUTERS = 7
        private const val UNEVEN_TOKENS = 70_000L
        private const val UNEVEN_WAIT_MS = 30L
        private const val LONG_OUTAGE_MS = 120_000L

        private val KINDS =
            listOf(
                RequestKind(perSecond = 50.9, meanTokens = 12_000.0, maxTokens = 60_000, waitMs = 101),
                RequestKind(perSecond = 67.1, meanTokens = 1_100.0, maxTokens = 10_000, waitMs = 60),
                RequestKind(perSecond = 115.0, meanTokens = 2_400.0, maxTokens = 10_000, waitMs = 120),
            )
    }
}
