package org.lycheemount.measure.budgets

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** Baseline: a table write reserves the worst case of each request, and another settles it. */
internal class TablePerRequestPolicy(
    private val simulation: Simulation,
) : BudgetPolicy {
    private lateinit var freeTokens: LongArray
    private val unsettledBills = IntArray(simulation.deployment.routerCount)
    private val partitionedRouters = mutableSetOf<Int>()
    private var isTableDown = false
    private var lostBills = 0

    override var tableWrites: Int = 0
        private set

    override suspend fun start(limits: List<Long>) {
        freeTokens = limits.toLongArray()
    }

    override suspend fun serve(
        router: Int,
        request: TraceRequest,
    ): RequestOutcome {
        if (!canReachTable(router)) return RequestOutcome.REFUSED
        delay(TABLE_LATENCY_MS)
        if (freeTokens[request.team] < request.worstCaseTokens) return RequestOutcome.REFUSED
        freeTokens[request.team] -= request.worstCaseTokens
        tableWrites++
        delay(request.outputTokens * Simulation.MS_PER_TOKEN)
        simulation.usage.use(request.team, request.usedTokens)
        unsettledBills[router]++
        simulation.routerScope(router).launch { settle(router, request) }
        return RequestOutcome.COMPLETE
    }

    private suspend fun settle(
        router: Int,
        request: TraceRequest,
    ) {
        while (!canReachTable(router)) delay(RETRY_MS)
        delay(TABLE_LATENCY_MS)
        freeTokens[request.team] += request.worstCaseTokens - request.usedTokens
        unsettledBills[router]--
        tableWrites++
    }

    override fun kill(router: Int) {
        lostBills += unsettledBills[router]
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
        freeTokens[team] += tokens
    }

    override suspend fun availableTokens(team: Int): Long = freeTokens[team]

    override suspend fun billCounts() = BillCounts(lostBills, duplicate = 0)

    private fun canReachTable(router: Int) = !isTableDown && router !in partitionedRouters

    private companion object {
        private const val TABLE_LATENCY_MS = 4L
        private const val RETRY_MS = 1_000L
    }
}
