package org.lycheemount.measure.budgets

import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch

/** Baseline: each router gets an equal share of every budget and top-up, and reserves the worst case from it. */
internal class EqualSharePolicy(
    private val simulation: Simulation,
) : BudgetPolicy {
    private val freeTokens = Array(simulation.deployment.routerCount) { LongArray(Deployment.TEAMS) }
    private val unflushedBills = IntArray(simulation.deployment.routerCount)
    private val unseenTopUpTokens = Array(simulation.deployment.routerCount) { LongArray(Deployment.TEAMS) }
    private val partitionedRouters = mutableSetOf<Int>()
    private var isTableDown = false
    private var lostBills = 0

    override var tableWrites: Int = 0
        private set

    override suspend fun start(limits: List<Long>) {
        limits.forEachIndexed { team, tokens -> for (shares in freeTokens) shares[team] += tokens / freeTokens.size }
        for (router in freeTokens.indices) {
            simulation.routerScope(router).launch {
                while (isActive) {
                    delay(FLUSH_MS)
                    if (canReachTable(router)) flush(router)
                }
            }
        }
    }

    private fun flush(router: Int) {
        if (unflushedBills[router] > 0) tableWrites++
        unflushedBills[router] = 0
        for (team in 0 until Deployment.TEAMS) {
            freeTokens[router][team] += unseenTopUpTokens[router][team]
            unseenTopUpTokens[router][team] = 0
        }
    }

    override suspend fun serve(
        router: Int,
        request: TraceRequest,
    ): RequestOutcome {
        val shares = freeTokens[router]
        if (shares[request.team] < request.worstCaseTokens) return RequestOutcome.REFUSED
        shares[request.team] -= request.worstCaseTokens
        delay(request.outputTokens * Simulation.MS_PER_TOKEN)
        shares[request.team] += request.worstCaseTokens - request.usedTokens
        unflushedBills[router]++
        simulation.usage.use(request.team, request.usedTokens)
        return RequestOutcome.COMPLETE
    }

    override fun kill(router: Int) {
        lostBills += unflushedBills[router]
        unflushedBills[router] = 0
    }

    override fun setTableOutage(isDown: Boolean) {
        isTableDown = isDown
    }

    override fun setPartition(
        routers: List<Int>,
        isPartitioned: Boolean,
    ) {
        if (isPartitioned) partitionedRouters += routers else partitionedRouters -= routers.toSet()
    }

    override suspend fun topUp(
        team: Int,
        topUpId: String,
        tokens: Long,
    ) {
        for (router in freeTokens.indices) unseenTopUpTokens[router][team] += tokens / freeTokens.size
    }

    override suspend fun availableTokens(team: Int): Long =
        simulation.liveRouters.sumOf { freeTokens[it][team] + unseenTopUpTokens[it][team] }

    override suspend fun billCounts() = BillCounts(lostBills, duplicate = 0)

    private fun canReachTable(router: Int) = !isTableDown && router !in partitionedRouters

    private companion object {
        private const val FLUSH_MS = 1_000L
    }
}
