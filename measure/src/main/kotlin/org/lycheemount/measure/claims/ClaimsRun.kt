package org.lycheemount.measure.claims

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlin.random.Random
import kotlin.time.Duration.Companion.minutes

/** One scenario with one way of keeping claims: one request each 300 ms at a random router, a third of them sent again. */
internal class ClaimsRun(
    private val scenario: ClaimsScenario,
    private val approach: ClaimsApproach,
) {
    private val figures = ClaimsFigures()
    private val random = Random(SEED)
    private val runs = HashMap<String, Int>()
    private var counting = false

    fun run(): ClaimsFigures {
        runTest(timeout = 10.minutes) { simulate() }
        return figures
    }

    private suspend fun TestScope.simulate() {
        val fleet = ClaimsFleet(this)
        val keeper = keeperOf(fleet)
        if (approach == ClaimsApproach.PAIR) fleet.start()
        if (keeper is OwnerKeeper) {
            backgroundScope.launch {
                while (true) {
                    keeper.tick(fleet.clock.monotonicMs())
                    delay(TICK_MS)
                }
            }
        }
        sendRequests(fleet, keeper, WARM_UP_MS)
        startFault(fleet)
        counting = true
        sendRequests(fleet, keeper, if (scenario == ClaimsScenario.ROUTER_DEATH) DEATH_WINDOW_MS else FAULT_MS)
        counting = false
        fleet.heal()
        sendRequests(fleet, keeper, WARM_UP_MS)
        delay(SETTLING_MS)
        figures.doubled = runs.values.count { it > 1 }
    }

    private fun keeperOf(fleet: ClaimsFleet): ClaimKeeper =
        when (approach) {
            ClaimsApproach.PAIR -> PairKeeperOfProduct()
            ClaimsApproach.TABLE -> TableKeeper(fleet)
            ClaimsApproach.LEASE -> OwnerKeeper(fleet, leased = true)
            ClaimsApproach.KEY_OWNER -> OwnerKeeper(fleet, leased = false)
        }

    private fun TestScope.startFault(fleet: ClaimsFleet) {
        when (scenario) {
            ClaimsScenario.NORMAL -> Unit
            ClaimsScenario.TABLE_OUTAGE -> fleet.table.isAvailable = false
            ClaimsScenario.ZONE_PARTITION -> fleet.cutZone(0)
            ClaimsScenario.ROUTER_DEATH -> {
                val victim = fleet.routers.first()
                victim.die()
                backgroundScope.launch {
                    delay(OwnerKeeper.LIST_LAG_MS)
                    fleet.confirmGone(victim)
                }
            }
        }
    }

    private suspend fun TestScope.sendRequests(
        fleet: ClaimsFleet,
        keeper: ClaimKeeper,
        durationMs: Long,
    ) {
        val endMs = fleet.clock.monotonicMs() + durationMs
        var number = 0
        while (fleet.clock.monotonicMs() < endMs) {
            val key = "k${fleet.clock.monotonicMs()}-${number++}"
            val (first, second) = fleet.routers.filter { it.alive }.shuffled(random)
            val isSentAgain = random.nextInt(RETRY_ONE_IN) == 0
            backgroundScope.launch { request(keeper, first, second.takeIf { isSentAgain }, key) }
            delay(INTERVAL_MS)
        }
    }

    private suspend fun request(
        keeper: ClaimKeeper,
        first: ClaimsFleet.Router,
        second: ClaimsFleet.Router?,
        key: String,
    ) {
        val counted = counting
        val answer = claimAndRun(keeper, first, key, "$key-1")
        if (counted) {
            figures.firstClaims++
            if (answer != ClaimAnswer.GRANTED) figures.refused++
        }
        if (answer != ClaimAnswer.GRANTED || second == null) return
        delay(random.nextLong(SHORTEST_RETRY_MS, LONGEST_RETRY_MS))
        if (!second.alive) return
        val retry = claimAndRun(keeper, second, key, "$key-2")
        if (counted) {
            figures.retries++
            if (retry != ClaimAnswer.KNOWN) figures.unknownRetries++
        }
    }

    private suspend fun claimAndRun(
        keeper: ClaimKeeper,
        router: ClaimsFleet.Router,
        key: String,
        request: String,
    ): ClaimAnswer {
        val answer = keeper.claim(router, key, request)
        if (answer != ClaimAnswer.GRANTED) return answer
        runs.merge(key, 1, Int::plus)
        delay(SERVICE_MS)
        keeper.finish(router, key, request)
        return answer
    }

    private companion object {
        private const val SEED = 7
        private const val TICK_MS = 500L
        private const val WARM_UP_MS = 120_000L
        private const val FAULT_MS = 3_600_000L
        private const val DEATH_WINDOW_MS = 120_000L
        private const val INTERVAL_MS = 300L
        private const val SETTLING_MS = 70_000L
        private const val RETRY_ONE_IN = 3
        private const val SHORTEST_RETRY_MS = 2_000L
        private const val LONGEST_RETRY_MS = 60_000L
        private const val SERVICE_MS = 200L
    }
}
