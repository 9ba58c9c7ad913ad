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
    val strandedPermille: Double,
    val billsLost: Int,
    val billsDoubled: Int,
    val tableWritesPerSecond: Double,
)

/**
 * Runs one scenario on virtual time. A refusal or a truncation is false when the exact central ledger admits the request: that
 * ledger has no faults, sees top-ups at once and charges the actual use at admission, so no real ledger can do better.
 */
internal class ScenarioRunner(
    private val deployment: Deployment,
    private val scenario: Scenario,
) {
    private val requests = requestsOf(deployment, scenario.durationMs)
    private val hourlyUse = hourlyUse()
    private val exact = exactLedger()

    fun run(policyOf: (SimWorld) -> BudgetPolicy): ScenarioFigures {
        val scheduler = TestCoroutineScheduler()
        val scope = CoroutineScope(StandardTestDispatcher(scheduler) + Job())
        val limits = startLimits()
        val world = SimWorld(scheduler, scope, deployment, Usage(limits.toLongArray()))
        val policy = policyOf(world)
        var figures: ScenarioFigures? = null
        scope.launch {
            figures = Run(world, policy).figures(limits)
            scope.cancel()
        }
        while (figures == null) scheduler.advanceTimeBy(ADVANCE_MS)
        return checkNotNull(figures)
    }

    private fun startLimits(): List<Long> = hourlyUse.map { (it * scenario.fundedHours).toLong() }

    /** Mean use of each team in an hour, from the trace. */
    private fun hourlyUse(): List<Double> =
        List(Deployment.TEAMS) { team ->
            requests.filter { it.team == team }.sumOf { it.usedTokens } * Scenario.HOUR_MS.toDouble() / scenario.durationMs
        }

    private fun exactLedger(): ExactLedger {
        val ledger = ExactLedger(startLimits())
        val topUps = scenario.events.filter { it.second is SimEvent.TopUp }.toMutableList()
        for (request in requests) {
            while (topUps.isNotEmpty() && topUps.first().first <= request.atMs) {
                val event = topUps.removeFirst().second as SimEvent.TopUp
                hourlyUse.forEachIndexed { team, use -> ledger.topUp(team, (use * event.hoursOfUse).toLong()) }
            }
            ledger.offer(request)
        }
        return ledger
    }

    private fun counted(request: SimRequest) = !scenario.lastPartOnly || request.index in exact.inLastPart

    private inner class Run(
        private val world: SimWorld,
        private val policy: BudgetPolicy,
    ) {
        private val served = HashMap<Int, ServedAs>()

        suspend fun figures(limits: List<Long>): ScenarioFigures {
            policy.start(limits)
            val startMs = world.scheduler.currentTime
            val writesBefore = policy.tableWrites
            world.scope.launch { scenario.events.forEach { (atMs, event) -> at(startMs + atMs) { apply(event) } } }
            for (request in requests) at(startMs + request.atMs) { offer(request) }
            delay(startMs + scenario.durationMs - world.scheduler.currentTime)
            val writes = policy.tableWrites - writesBefore
            delay(SETTLE_MS)
            return figures(writes)
        }

        private suspend fun at(
            timeMs: Long,
            action: suspend () -> Unit,
        ) {
            delay(timeMs - world.scheduler.currentTime)
            action()
        }

        private fun offer(request: SimRequest) {
            val router = world.liveRouters[(request.pick * world.liveRouters.size).toInt()]
            world.routerScope(router).launch { served[request.index] = policy.serve(router, request) }
        }

        private suspend fun apply(event: SimEvent) {
            when (event) {
                is SimEvent.TableOutage -> policy.setOutage(event.down)
                is SimEvent.ZonePartition -> policy.setPartition(deployment.routersOfZone(event.zone), event.cut)
                is SimEvent.Death -> {
                    world.kill(event.router)
                    policy.kill(event.router)
                }
                is SimEvent.TopUp -> hourlyUse.forEachIndexed { team, use -> topUp(team, (use * event.hoursOfUse).toLong()) }
            }
        }

        /** Each top-up is sent twice, as an operator does who got no answer. */
        private suspend fun topUp(
            team: Int,
            tokens: Long,
        ) {
            val id = "at-${world.scheduler.currentTime}"
            world.usage.topUp(team, tokens)
            policy.topUp(team, id, tokens)
            if (policy is GrantPolicy) policy.topUp(team, id, tokens)
        }

        private suspend fun figures(writes: Int): ScenarioFigures {
            val countedRequests = requests.filter(::counted)
            val refused = countedRequests.count { served[it.index] == ServedAs.REFUSED && it.index in exact.admitted }
            val truncated = countedRequests.count { served[it.index] == ServedAs.TRUNCATED && it.index in exact.admitted }
            val bills = policy.billCounts()
            val limit = (0 until Deployment.TEAMS).sumOf { world.usage.limitOf(it) }
            return ScenarioFigures(
                overspendTokens = world.usage.overspendTokens,
                falseRefusalsPermille = permille((refused + truncated).toLong(), countedRequests.size.toLong()),
                truncatedPermille = permille(truncated.toLong(), countedRequests.size.toLong()),
                strandedPermille = permille((0 until Deployment.TEAMS).sumOf { stranded(it) }, limit),
                billsLost = bills.lost,
                billsDoubled = bills.doubled,
                tableWritesPerSecond = writes * MS_PER_SECOND / scenario.durationMs,
            )
        }

        /** Unused tokens that no request can get any more; at the end of a budget, all tokens that its last requests did not get. */
        private suspend fun stranded(team: Int): Long {
            val unused = world.usage.limitOf(team) - world.usage.usedOf(team)
            return if (scenario.lastPartOnly) unused else (unused - policy.availableTokens(team)).coerceAtLeast(0)
        }
    }

    private companion object {
        private const val ADVANCE_MS = 60_000L

        /** Longer than the longest request, and than the time until a peer writes the bills of a dead router. */
        private const val SETTLE_MS = 400_000L
        private const val MS_PER_SECOND = 1_000.0
    }
}

/** The naive exact ledger: one memory, actual use charged at admission. */
internal class ExactLedger(
    limits: List<Long>,
) {
    private val limit = limits.toLongArray()
    private val used = LongArray(limits.size)
    val admitted = HashSet<Int>()

    /** Requests that arrived with at most 5% of their budget left, until it was used up. */
    val inLastPart = HashSet<Int>()

    fun topUp(
        team: Int,
        tokens: Long,
    ) {
        limit[team] += tokens
    }

    fun offer(request: SimRequest) {
        val left = limit[request.team] - used[request.team]
        if (left * LAST_PART <= limit[request.team] && left > 0) inLastPart += request.index
        if (left < request.usedTokens) return
        used[request.team] += request.usedTokens
        admitted += request.index
    }

    private companion object {
        private const val LAST_PART = 20
    }
}

private fun permille(
    part: Long,
    whole: Long,
): Double = if (whole == 0L) 0.0 else Math.round(part * 100_000.0 / whole) / 100.0
