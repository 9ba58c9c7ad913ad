package org.lycheemount.measure.budgets

import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random

/**
 * Model of one deployment.
 *
 * @property routersPerZone number of routers in each zone.
 * @property requestsPerSecond rate of the requests of all teams together.
 * @property maxOutputTokens largest `max_tokens` that a caller sends.
 */
internal data class Deployment(
    val name: String,
    val routersPerZone: List<Int>,
    val requestsPerSecond: Double,
    val maxOutputTokens: Int,
    val seed: Int,
) {
    val routerCount: Int get() = routersPerZone.sum()

    /** Share of each team in the requests; three large teams send 70% together. */
    val teamShares: List<Double> get() =
        List(TEAMS) {
            if (it <
                LARGE_TEAMS
            ) {
                LARGE_SHARE / LARGE_TEAMS
            } else {
                (1 - LARGE_SHARE) / (TEAMS - LARGE_TEAMS)
            }
        }

    fun routersOfZone(zone: Int): List<Int> {
        val first = routersPerZone.take(zone).sum()
        return (first until first + routersPerZone[zone]).toList()
    }

    fun zoneOf(router: Int): Int = routersPerZone.indices.first { router in routersOfZone(it) }

    companion object {
        const val TEAMS = 10
        private const val LARGE_TEAMS = 3
        private const val LARGE_SHARE = 0.7
        val ALL =
            listOf(
                Deployment("association", listOf(2, 2, 2, 1), 6.0, 4_000, 11),
                Deployment("tartanmaat", listOf(3, 2, 2), 10.0, 2_400, 23),
            )
    }
}

/**
 * One request of the generated trace.
 *
 * @property routerFraction number from 0 to 1 that selects one of the live routers.
 */
internal class TraceRequest(
    val index: Int,
    val arrivalMs: Long,
    val team: Int,
    val routerFraction: Double,
    val promptTokens: Int,
    val maxOutputTokens: Int,
    val outputTokens: Int,
) {
    val usedTokens: Long get() = (promptTokens + outputTokens).toLong()
    val worstCaseTokens: Long get() = (promptTokens + maxOutputTokens).toLong()
}

/** Generates Poisson arrivals. A request uses about a fifth of its worst case; a few percent use all of it. */
internal fun generateRequests(
    deployment: Deployment,
    durationMs: Long,
): List<TraceRequest> {
    val random = Random(deployment.seed)
    val requests = mutableListOf<TraceRequest>()
    var atMs = 0.0
    while (true) {
        atMs += -ln(1 - random.nextDouble()) * MS_PER_SECOND / deployment.requestsPerSecond
        if (atMs >= durationMs) return requests
        val maxOutput = random.nextInt(deployment.maxOutputTokens / 4, deployment.maxOutputTokens)
        val share = if (random.nextDouble() < FULL_USE_SHARE) 1.0 else random.nextDouble().pow(2) * MAX_TYPICAL_SHARE
        requests +=
            TraceRequest(
                index = requests.size,
                arrivalMs = atMs.toLong(),
                team = teamOf(deployment, random.nextDouble()),
                routerFraction = random.nextDouble(),
                promptTokens = random.nextInt(MIN_PROMPT_TOKENS, maxOutput / 4),
                maxOutputTokens = maxOutput,
                outputTokens = (maxOutput * share).toInt().coerceAtLeast(1),
            )
    }
}

private fun teamOf(
    deployment: Deployment,
    fraction: Double,
): Int {
    var remaining = fraction
    deployment.teamShares.forEachIndexed { team, share ->
        remaining -= share
        if (remaining < 0) return team
    }
    return deployment.teamShares.lastIndex
}

private const val MS_PER_SECOND = 1_000.0
private const val FULL_USE_SHARE = 0.02
private const val MAX_TYPICAL_SHARE = 0.3
private const val MIN_PROMPT_TOKENS = 20
