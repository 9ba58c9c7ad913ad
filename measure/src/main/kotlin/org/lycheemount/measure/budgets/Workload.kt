package org.lycheemount.measure.budgets

import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random

/**
 * One deployment as the measurement models it.
 *
 * @property zoneRouters number of routers in each zone.
 * @property requestsPerSecond requests of all teams.
 * @property longestOutput greatest `max_tokens` of callers.
 */
internal data class Deployment(
    val name: String,
    val zoneRouters: List<Int>,
    val requestsPerSecond: Double,
    val longestOutput: Int,
    val seed: Int,
) {
    val routers: Int get() = zoneRouters.sum()

    /** Share of the requests of each team: three large teams have 70%. */
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
        val first = zoneRouters.take(zone).sum()
        return (first until first + zoneRouters[zone]).toList()
    }

    fun zoneOf(router: Int): Int = zoneRouters.indices.first { router in routersOfZone(it) }

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
 * A request as the trace fixes it.
 *
 * @property pick number from 0 to 1 that selects one of the live routers.
 */
internal class SimRequest(
    val index: Int,
    val atMs: Long,
    val team: Int,
    val pick: Double,
    val promptTokens: Int,
    val maxOutputTokens: Int,
    val outputTokens: Int,
) {
    val usedTokens: Long get() = (promptTokens + outputTokens).toLong()
    val worstCaseTokens: Long get() = (promptTokens + maxOutputTokens).toLong()
}

/** Poisson arrivals; a request uses about a fifth of its worst case, a few percent use all of it. */
internal fun requestsOf(
    deployment: Deployment,
    durationMs: Long,
): List<SimRequest> {
    val random = Random(deployment.seed)
    val requests = mutableListOf<SimRequest>()
    var atMs = 0.0
    while (true) {
        atMs += -ln(1 - random.nextDouble()) * MS_PER_SECOND / deployment.requestsPerSecond
        if (atMs >= durationMs) return requests
        val maxOutput = random.nextInt(deployment.longestOutput / 4, deployment.longestOutput)
        val share = if (random.nextDouble() < FULL_USE_SHARE) 1.0 else random.nextDouble().pow(2) * LARGEST_USUAL_SHARE
        requests +=
            SimRequest(
                index = requests.size,
                atMs = atMs.toLong(),
                team = teamOf(deployment, random.nextDouble()),
                pick = random.nextDouble(),
                promptTokens = random.nextInt(SHORTEST_PROMPT, maxOutput / 4),
                maxOutputTokens = maxOutput,
                outputTokens = (maxOutput * share).toInt().coerceAtLeast(1),
            )
    }
}

private fun teamOf(
    deployment: Deployment,
    number: Double,
): Int {
    var rest = number
    deployment.teamShares.forEachIndexed { team, share ->
        rest -= share
        if (rest < 0) return team
    }
    return deployment.teamShares.lastIndex
}

private const val MS_PER_SECOND = 1_000.0
private const val FULL_USE_SHARE = 0.02
private const val LARGEST_USUAL_SHARE = 0.3
private const val SHORTEST_PROMPT = 20
