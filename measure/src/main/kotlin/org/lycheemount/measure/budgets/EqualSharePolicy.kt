package org.lycheemount.measure.budgets

import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch

/** Baseline: each router has an equal part of every budget and top-up, and reserves the worst case from it. */
internal class EqualSharePolicy(
    private val world: SimWorld,
) : BudgetPolicy {
    private val free = Array(world.deployment.routers) { LongArray(Deployment.TEAMS) }
    private val unflushed = IntArray(world.deployment.routers)
    private val unseenTopUps = Array(world.deployment.routers) { LongArray(Deployment.TEAMS) }
    private val cutRouters = mutableSetOf<Int>()
    private var outage = false
    private var lostBills = 0

    override var tableWrites: Int = 0
        private set

    override suspend fun start(limits: List<Long>) {
        limits.forEachIndexed { team, tokens -> for (shares in free) shares[team] += tokens / free.size }
        for (router in free.indices) {
            world.routerScope(router).launch {
                while (isActive) {
                    delay(FLUSH_MS)
                    if (reachable(router)) flush(router)
                }
            }
        }
    }

    private fun flush(router: Int) {
        if (unflushed[router] > 0) tableWrites++
        unflushed[router] = 0
        for (team in 0 until Deployment.TEAMS) {
            free[router][team] += unseenTopUps[router][team]
            unseenTopUps[router][team] = 0
        }
    }

    override suspend fun serve(
        router: Int,
        request: SimRequest,
    ): ServedAs {
        val shares = free[router]
        if (shares[request.team] < request.worstCaseTokens) return ServedAs.REFUSED
        shares[request.team] -= request.worstCaseTokens
        delay(request.outputTokens * SimWorld.TOKEN_MS)
        shares[request.team] += request.worstCaseTokens - request.usedTokens
        unflushed[router]++
        world.usage.use(request.team, request.usedTokens)
        return ServedAs.COMPLETE
    }

    override fun kill(router: Int) {
        lostBills += unflushed[router]
        unflushed[router] = 0
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
        for (router in free.indices) unseenTopUps[router][team] += tokens / free.size
    }

    override suspend fun availableTokens(team: Int): Long = world.liveRouters.sumOf { free[it][team] + unseenTopUps[it][team] }

    override suspend fun billCounts() = BillCounts(lostBills, doubled = 0)

    private fun reachable(router: Int) = !outage && router !in cutRouters

    private companion object {
        private const val FLUSH_MS = 1_000L
    }
}
