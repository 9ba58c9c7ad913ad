package org.lycheemount.budget

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import org.lycheemount.common.BudgetId
import java.util.Random
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow

/**
 * Kind of requests whose sizes are distributed log-normally.
 *
 * @property waitMs time that a request waits for tokens.
 */
internal data class RequestKind(
    val perSecond: Double,
    val meanTokens: Double,
    val maxTokens: Long,
    val waitMs: Long,
)

/**
 * @property sentAtMs monotonic time of the fleet.
 * @property isCoverable whether the budget as a whole has the tokens when the request arrives.
 */
internal data class RequestResult(
    val sentAtMs: Long,
    val tokens: Long,
    val isCoverable: Boolean,
    val isServed: Boolean,
)

/**
 * Requests that arrive at any router, so that each router sees few requests of each budget. A few budgets are large. An exact ledger
 * beside the fleet tells what each budget has left.
 *
 * @param plannedSpanMs time for which the budgets cover the expected spend [BUDGET_FACTOR] times.
 * @param usableShare part of each budget up to which requests count as coverable.
 */
internal class ThinTraffic(
    private val fleet: BudgetFleet,
    private val kinds: List<RequestKind>,
    budgetCount: Int,
    plannedSpanMs: Long,
    seed: Long,
    usableShare: Double = 1.0,
) {
    private val random = Random(seed)
    private val shares = (1..budgetCount).map { 1 / it.toDouble().pow(SKEW) }.let { weights -> weights.map { it / weights.sum() } }
    private val tokensPerMs = kinds.sumOf { it.perSecond * it.meanTokens } / 1_000
    private val limitTokens = shares.map { (it * tokensPerMs * plannedSpanMs * BUDGET_FACTOR).toLong() }
    private val exactFreeTokens = limitTokens.toLongArray()
    private val reserveTokens = limitTokens.map { (it * (1 - usableShare)).toLong() }
    private var requestCount = 0
    val results = mutableListOf<RequestResult>()

    val budgetIds = List(budgetCount) { BudgetId("team-$it") }

    suspend fun fundBudgets() = budgetIds.zip(limitTokens).forEach { (id, tokens) -> fleet.createFundedBudget(tokens, budgetId = id) }

    /** Sends requests for [durationMs] and waits for their outcomes. */
    suspend fun run(
        scope: CoroutineScope,
        durationMs: Long,
    ) {
        val untilMs = fleet.clock.monotonicMs() + durationMs
        val jobs = mutableListOf<Job>()
        while (fleet.clock.monotonicMs() < untilMs) {
            delay(TICK_MS)
            for (kind in kinds) {
                repeat(arrivals(kind.perSecond * TICK_MS / 1_000)) {
                    val tokens = size(kind)
                    val budget = drawBudget()
                    val router = fleet.routers.values.elementAt(random.nextInt(fleet.routers.size))
                    jobs += scope.launch { send(router, budget, tokens, kind.waitMs) }
                }
            }
        }
        jobs.joinAll()
    }

    /** Tokens of all budgets that no request has used or reserved. */
    val unusedTokens: Long get() = exactFreeTokens.sum()

    /** Share of the coverable requests sent from [fromMs] on that were served. */
    fun servedShareFrom(fromMs: Long): Double = servedShare(results.filter { it.sentAtMs >= fromMs })

    /** Share of the coverable requests among the largest [part] of all that were served. */
    fun servedShareOfLargest(part: Double): Double =
        servedShare(results.sortedByDescending { it.tokens }.take((results.size * part).toInt()))

    /** Served share of the coverable requests, for size classes that double. */
    fun describe(): String =
        results
            .groupBy { it.tokens.takeHighestOneBit() }
            .toSortedMap()
            .map { (tokens, sized) -> "from $tokens tokens ${"%.3f".format(servedShare(sized))} of ${sized.size}" }
            .joinToString()

    private fun servedShare(requests: List<RequestResult>): Double {
        val coverable = requests.filter { it.isCoverable }
        return coverable.count { it.isServed }.toDouble() / coverable.size
    }

    private suspend fun send(
        router: BudgetFleet.Router,
        budget: Int,
        tokens: Long,
        waitMs: Long,
    ) {
        val sentAtMs = fleet.clock.monotonicMs()
        val isCoverable = exactFreeTokens[budget] - reserveTokens[budget] >= tokens
        val name = "request-${requestCount++}"
        var isServed = router.reserve(name, tokens, budgetIds[budget]) is ReservationOutcome.Reserved
        if (!isServed) {
            router.maintenance.awaitTokens(budgetIds[budget], tokens, waitMs)
            isServed = router.reserve(name, tokens, budgetIds[budget]) is ReservationOutcome.Reserved
        }
        results += RequestResult(sentAtMs, tokens, isCoverable, isServed)
        if (!isServed) return
        exactFreeTokens[budget] -= tokens
        delay(RESPONSE_MS)
        val usedTokens = (tokens * USED_SHARE).toLong()
        router.settle(name, usedTokens)
        exactFreeTokens[budget] += tokens - usedTokens
    }

    private fun drawBudget(): Int {
        var rest = random.nextDouble()
        return shares
            .indexOfFirst {
                rest -= it
                rest < 0
            }.coerceAtLeast(0)
    }

    private fun size(kind: RequestKind): Long {
        val mu = ln(kind.meanTokens) - SIZE_SPREAD * SIZE_SPREAD / 2
        return exp(mu + SIZE_SPREAD * random.nextGaussian()).toLong().coerceIn(1, kind.maxTokens)
    }

    private fun arrivals(mean: Double): Int {
        val limit = exp(-mean)
        var product = random.nextDouble()
        var count = 0
        while (product > limit) {
            product *= random.nextDouble()
            count++
        }
        return count
    }

    private companion object {
        private const val TICK_MS = 2L
        private const val SKEW = 0.8
        private const val SIZE_SPREAD = 0.7
        private const val BUDGET_FACTOR = 1.3
        private const val RESPONSE_MS = 600L
        private const val USED_SHARE = 0.9
    }
}
