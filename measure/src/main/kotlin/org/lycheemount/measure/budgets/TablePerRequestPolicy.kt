package org.lycheemount.measure.budgets

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** Baseline: a table write reserves the worst case of each request, and another settles it. */
internal class TablePerRequestPolicy(
    private val world: SimWorld,
) : BudgetPolicy {
    private lateinit var free: LongArray
    private val unsettled = IntArray(world.deployment.routers)
    private val cutRouters = mutableSetOf<Int>()
    private var outage = false
    private var lostBills = 0

    override var tableWrites: Int = 0
        private set

    override suspend fun start(limits: List<Long>) {
        free = limits.toLongArray()
    }

    override suspend fun serve(
        router: Int,
        request: SimRequest,
    ): ServedAs {
        if (!reachable(router)) return ServedAs.REFUSED
        delay(TABLE_MS)
        if (free[request.team] < request.worstCaseTokens) return ServedAs.REFUSED
        free[request.team] -= request.worstCaseTokens
        tableWrites++
        delay(request.outputTokens * SimWorld.TOKEN_MS)
        world.usage.use(request.team, request.usedTokens)
        unsettled[router]++
        world.routerScope(router).launch { settle(router, request) }
        return ServedAs.COMPLETE
    }

    private suspend fun settle(
        router: Int,
        request: SimRequest,
    ) {
        while (!reachable(router)) delay(RETRY_MS)
        delay(TABLE_MS)
        free[request.team] += request.worstCaseTokens - request.usedTokens
        unsettled[router]--
        tableWrites++
    }

    override fun kill(router: Int) {
        lostBills += unsettled[router]
    }

    override fun setOutage(down: Boolean) {
        outage = down
    }

    override fun setPartition(
        routers: List<Int>,
        cut: Boolean,
    ) {
        if (cut) cutRouters += routers else cutRouters -= routers.toSet()
    }

    override suspend fun topUp(
        team: Int,
        topUpId: String,
        tokens: Long,
    ) {
        free[team] += tokens
    }

    override suspend fun availableTokens(team: Int): Long = free[team]

    override suspend fun billCounts() = BillCounts(lostBills, doubled = 0)

    private fun reachable(router: Int) = !outage && router !in cutRouters

    private companion object {
        private const val TABLE_MS = 4L
        private const val RETRY_MS = 1_000L
    }
}
