package org.lycheemount.measure.budgets

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler

/** Figures of one policy in one scenario. */
internal class ScenarioFigures(
    val overspendTokens: Long,
    val falseRefusalsPermille: Double,
    val truncatedPermille: Double,
    val strandedTokensPermille: Double,
    val lostBills: Int,
    val duplicateBills: Int,
    val tableWritesPerSecond: Double,
)

/**
 * Runs one scenario in virtual time.
 *
 * A refusal or a truncation is false if the exact central ledger admits the request. That ledger has no faults, sees top-ups at once
 * and charges the actual use at admission, so no real ledger can do better.
 */
internal class ScenarioRunner(
    private val deployment: Deployment,
    private val scenario: Scenario,
) {
    private val requests = generateRequests(deployment, scenario.durationMs)
    private val hourlyUseTokens = computeHourlyUse()
    private val exactLedger = runExactLedger()

    fun run(createPolicy: (Simulation) -> BudgetPolicy): ScenarioFigures {
        val scheduler = TestCoroutineScheduler()
        val scope = CoroutineScope(StandardTestDispatcher(scheduler) + Job())
        val limits = startLimits()
        val simulation = Simulation(scheduler, scope, deployment, Usage(limits.toLongArray()))
        val policy = createPolicy(simulation)
        var figures: ScenarioFigures? = null
        scope.launch {
            figures = PolicyRun(simulation, policy).run(limits)
            scope.cancel()
        }
        while (figures == null) scheduler.advanceTimeBy(ADVANCE_MS)
        return checkNotNull(figures)
    }

    private fun startLimits(): List<Long> = hourlyUseTokens.map { (it * scenario.initialHoursOfUse).toLong() }

    /** Returns the mean use of each team in the trace, in tokens per hour. */
    private fun computeHourlyUse(): List<Double> =
        List(Deployment.TEAMS) { team ->
            requests.filter { it.team == team }.sumOf { it.usedTokens } * Scenario.HOUR_MS.toDouble() / scenario.durationMs
        }

    private fun runExactLedger(): ExactLedger {
        val ledger = ExactLedger(startLimits())
        val topUps = scenario.events.filter { it.second is ScenarioEvent.TopUp }.toMutableList()
        for (request in requests) {
            while (topUps.isNotEmpty() && topUps.first().first <= request.arrivalMs) {
                val event = topUps.removeFirst().second as ScenarioEvent.TopUp
                hourlyUseTokens.forEachIndexed { team, use -> ledger.topUp(team, (use * event.hoursOfUse).toLong()) }
            }
            ledger.offer(request)
        }
        return ledger
    }

    private fun isCounted(request: TraceRequest) = !scenario.countsLastPartOnly || request.index in exactLedger.lastPartRequests

    private inner class PolicyRun(
        private val simulation: Simulation,
        private val policy: BudgetPolicy,
    ) {
        private val outcomes = HashMap<Int, RequestOutcome>()

        suspend fun run(limits: List<Long>): ScenarioFigures {
            policy.start(limits)
            val startMs = simulation.scheduler.currentTime
            val writesBefore = policy.tableWrites
            simulation.scope.launch { scenario.events.forEach { (atMs, event) -> runAt(startMs + atMs) { apply(event) } } }
            for (request in requests) runAt(startMs + request.arrivalMs) { offer(request) }
            delay(startMs + scenario.durationMs - simulation.scheduler.currentTime)
            val writes = policy.tableWrites - writesBefore
            delay(SETTLEMENT_WAIT_MS)
            return computeFigures(writes)
        }

        private suspend fun runAt(
            timeMs: Long,
            action: suspend () -> Unit,
        ) {
            delay(timeMs - simulation.scheduler.currentTime)
            action()
        }

        private fun offer(request: TraceRequest) {
            val router = simulation.liveRouters[(request.routerFraction * simulation.liveRouters.size).toInt()]
            simulation.routerScope(router).launch { outcomes[request.index] = policy.serve(router, request) }
        }

        private suspend fun apply(event: ScenarioEvent) {
            when (event) {
                is ScenarioEvent.TableOutage -> policy.setTableOutage(event.isDown)
                is ScenarioEvent.ZonePartition -> policy.setPartition(deployment.routersOfZone(event.zone), event.isPartitioned)
                is ScenarioEvent.RouterCrash -> {
                    simulation.kill(event.router)
                    policy.kill(event.router)
                }
                is ScenarioEvent.TopUp -> hourlyUseTokens.forEachIndexed { team, use -> topUp(team, (use * event.hoursOfUse).toLong()) }
            }
        }

        /** Sends each top-up to the ledger of the product twice, as an operator does who got no response. */
        private suspend fun topUp(
            team: Int,
            tokens: Long,
        ) {
            val id = "at-${simulation.scheduler.currentTime}"
            simulation.usage.topUp(team, tokens)
            policy.topUp(team, id, tokens)
            if (policy is GrantPolicy) policy.topUp(team, id, tokens)
        }

        private suspend fun computeFigures(writes: Int): ScenarioFigures {
            val countedRequests = requests.filter(::isCounted)
            val refused = countedRequests.count { outcomes[it.index] == RequestOutcome.REFUSED && it.index in exactLedger.admitted }
            val truncated = countedRequests.count { outcomes[it.index] == RequestOutcome.TRUNCATED && it.index in exactLedger.admitted }
            val bills = policy.billCounts()
            val limit = (0 until Deployment.TEAMS).sumOf { simulation.usage.limitOf(it) }
            return ScenarioFigures(
                overspendTokens = simulation.usage.overspendTokens,
                falseRefusalsPermille = permille((refused + truncated).toLong(), countedRequests.size.toLong()),
                truncatedPermille = permille(truncated.toLong(), countedRequests.size.toLong()),
                strandedTokensPermille = permille((0 until Deployment.TEAMS).sumOf { strandedTokens(it) }, limit),
                lostBills = bills.lost,
                duplicateBills = bills.duplicate,
                tableWritesPerSecond = writes * MS_PER_SECOND / scenario.durationMs,
            )
        }

        /** Returns the unused tokens that no request can get any more; if only the last part of a budget counts, all unused tokens. */
        private suspend fun strandedTokens(team: Int): Long {
            val unused = simulation.usage.limitOf(team) - simulation.usage.usedOf(team)
            return if (scenario.countsLastPartOnly) unused else (unused - policy.availableTokens(team)).coerceAtLeast(0)
        }
    }

    private companion object {
        private const val ADVANCE_MS = 60_000L

        /** Longer than the longest request and than the time until a peer writes the bills of a crashed router. */
        private const val SETTLEMENT_WAIT_MS = 400_000L
        private const val MS_PER_SECOND = 1_000.0
    }
}

/** Exact central ledger in memory, which charges the actual use at admission. */
internal class ExactLedger(
    limits: List<Long>,
) {
    private val limit = limits.toLongArray()
    private val used = LongArray(limits.size)
    val admitted = HashSet<Int>()

    /** Indexes of the requests that arrived when at most 5% of their budget, but more than nothing, was left. */
    val lastPartRequests = HashSet<Int>()

    fun topUp(
        team: Int,
        tokens: Long,
    ) {
        limit[team] += tokens
    }

    fun offer(request: TraceRequest) {
        val leftTokens = limit[request.team] - used[request.team]
        if (leftTokens * LAST_PART_DIVISOR <= limit[request.team] && leftTokens > 0) lastPartRequests += request.index
        if (leftTokens < request.usedTokens) return
        used[request.team] += request.usedTokens
        admitted += request.index
    }

    private companion object {
        private const val LAST_PART_DIVISOR = 20
    }
}

private fun permille(
    part: Long,
    whole: Long,
): Double = if (whole == 0L) 0.0 else Math.round(part * 100_000.0 / whole) / 100.0
