package org.lycheemount.measure.claims

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlin.random.Random
import kotlin.time.Duration.Companion.minutes

/**
 * Runs one scenario with one approach: a request every 300 ms at a random router.
 * A third of the granted requests are sent again to another router.
 */
internal class ClaimsRun(
    private val scenario: ClaimsScenario,
    private val approach: ClaimsApproach,
) {
    private val figures = ClaimsFigures()
    private val random = Random(SEED)
    private val runsByKey = HashMap<String, Int>()
    private var isMeasuring = false

    fun run(): ClaimsFigures {
        runTest(timeout = 10.minutes) { simulate() }
        return figures
    }

    private suspend fun TestScope.simulate() {
        val fleet = ClaimsFleet(this)
        val strategy = createStrategy(fleet)
        if (approach == ClaimsApproach.PAIR) fleet.start()
        if (strategy is SingleOwnerClaimStrategy) {
            backgroundScope.launch {
                while (true) {
                    strategy.refresh(fleet.clock.monotonicMs())
                    delay(REFRESH_INTERVAL_MS)
                }
            }
        }
        sendRequests(fleet, strategy, WARM_UP_MS)
        startFault(fleet)
        isMeasuring = true
        sendRequests(fleet, strategy, if (scenario == ClaimsScenario.ROUTER_CRASH) CRASH_WINDOW_MS else FAULT_MS)
        isMeasuring = false
        fleet.heal()
        sendRequests(fleet, strategy, WARM_UP_MS)
        delay(SETTLING_MS)
        figures.duplicateRuns = runsByKey.values.count { it > 1 }
    }

    private fun createStrategy(fleet: ClaimsFleet): ClaimStrategy =
        when (approach) {
            ClaimsApproach.PAIR -> ProductClaimStrategy()
            ClaimsApproach.TABLE -> TableClaimStrategy(fleet)
            ClaimsApproach.LEASE -> SingleOwnerClaimStrategy(fleet, usesLease = true)
            ClaimsApproach.KEY_OWNER -> SingleOwnerClaimStrategy(fleet, usesLease = false)
        }

    private fun TestScope.startFault(fleet: ClaimsFleet) {
        when (scenario) {
            ClaimsScenario.NORMAL -> Unit
            ClaimsScenario.TABLE_OUTAGE -> fleet.table.isAvailable = false
            ClaimsScenario.ZONE_PARTITION -> fleet.isolateZone(0)
            ClaimsScenario.ROUTER_CRASH -> {
                val crashedRouter = fleet.routers.first()
                crashedRouter.crash()
                backgroundScope.launch {
                    delay(SingleOwnerClaimStrategy.VM_LIST_DELAY_MS)
                    fleet.confirmGone(crashedRouter)
                }
            }
        }
    }

    private suspend fun TestScope.sendRequests(
        fleet: ClaimsFleet,
        strategy: ClaimStrategy,
        durationMs: Long,
    ) {
        val endMs = fleet.clock.monotonicMs() + durationMs
        var number = 0
        while (fleet.clock.monotonicMs() < endMs) {
            val key = "k${fleet.clock.monotonicMs()}-${number++}"
            val (first, second) = fleet.routers.filter { it.isAlive }.shuffled(random)
            val isRetried = random.nextInt(RETRY_ONE_IN) == 0
            backgroundScope.launch { sendRequest(strategy, first, second.takeIf { isRetried }, key) }
            delay(REQUEST_INTERVAL_MS)
        }
    }

    private suspend fun sendRequest(
        strategy: ClaimStrategy,
        first: ClaimsFleet.Router,
        second: ClaimsFleet.Router?,
        key: String,
    ) {
        val isMeasured = isMeasuring
        val result = claimAndRun(strategy, first, key, "$key-1")
        if (isMeasured) {
            figures.firstClaims++
            if (result != ClaimResult.GRANTED) figures.refused++
        }
        if (result != ClaimResult.GRANTED || second == null) return
        delay(random.nextLong(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS))
        if (!second.isAlive) return
        val retryResult = claimAndRun(strategy, second, key, "$key-2")
        if (isMeasured) {
            figures.retries++
            if (retryResult != ClaimResult.DUPLICATE) figures.unrecognizedRetries++
        }
    }

    private suspend fun claimAndRun(
        strategy: ClaimStrategy,
        router: ClaimsFleet.Router,
        key: String,
        request: String,
    ): ClaimResult {
        val result = strategy.claim(router, key, request)
        if (result != ClaimResult.GRANTED) return result
        runsByKey.merge(key, 1, Int::plus)
        delay(SERVICE_MS)
        strategy.finish(router, key, request)
        return result
    }

    private companion object {
        private const val SEED = 7
        private const val REFRESH_INTERVAL_MS = 500L
        private const val WARM_UP_MS = 120_000L
        private const val FAULT_MS = 3_600_000L
        private const val CRASH_WINDOW_MS = 120_000L
        private const val REQUEST_INTERVAL_MS = 300L
        private const val SETTLING_MS = 70_000L
        private const val RETRY_ONE_IN = 3
        private const val MIN_RETRY_DELAY_MS = 2_000L
        private const val MAX_RETRY_DELAY_MS = 60_000L
        private const val SERVICE_MS = 200L
    }
}
