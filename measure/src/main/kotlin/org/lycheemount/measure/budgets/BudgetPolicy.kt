package org.lycheemount.measure.budgets

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.plus
import kotlinx.coroutines.test.TestCoroutineScheduler
import org.lycheemount.common.Clock

/** How one request ended. */
internal enum class RequestOutcome { COMPLETE, TRUNCATED, REFUSED }

/** Clock, coroutine scopes and live routers of one run in virtual time. */
internal class Simulation(
    val scheduler: TestCoroutineScheduler,
    val scope: CoroutineScope,
    val deployment: Deployment,
    val usage: Usage,
) {
    val clock: Clock = SchedulerClock(scheduler)
    private val jobs = List(deployment.routerCount) { Job(scope.coroutineContext[Job]) }
    val liveRouters = (0 until deployment.routerCount).toMutableList()

    fun routerScope(router: Int): CoroutineScope = scope + jobs[router]

    fun kill(router: Int) {
        liveRouters -= router
        jobs[router].cancel()
    }

    companion object {
        const val MS_PER_TOKEN = 25L
    }
}

/** Counts the tokens that each team has used and compares them with its prepaid limit. */
internal class Usage(
    private val limits: LongArray,
) {
    private val used = LongArray(limits.size)

    /** Largest overspend of any team so far. */
    var overspendTokens = 0L
        private set

    fun topUp(
        team: Int,
        tokens: Long,
    ) {
        limits[team] += tokens
    }

    fun use(
        team: Int,
        tokens: Long,
    ) {
        used[team] += tokens
        overspendTokens = maxOf(overspendTokens, used[team] - limits[team])
    }

    fun usedOf(team: Int): Long = used[team]

    fun limitOf(team: Int): Long = limits[team]
}

/** Number of bills of settled requests that are missing, and of bills that were recorded again. */
internal class BillCounts(
    val lost: Int,
    val duplicate: Int,
)

/** One budget design. All designs run over the same trace. */
internal interface BudgetPolicy {
    suspend fun start(limits: List<Long>)

    /** Serves [request] at [router] from admission to settlement. The call is cancelled when the router crashes. */
    suspend fun serve(
        router: Int,
        request: TraceRequest,
    ): RequestOutcome

    fun kill(router: Int)

    fun setTableOutage(isDown: Boolean)

    fun setPartition(
        routers: List<Int>,
        isPartitioned: Boolean,
    )

    suspend fun topUp(
        team: Int,
        topUpId: String,
        tokens: Long,
    )

    /** Tokens of [team] that a live router or the table can still allocate to requests. */
    suspend fun availableTokens(team: Int): Long

    val tableWrites: Int

    /** Compares the bills with the requests that were settled. */
    suspend fun billCounts(): BillCounts
}
