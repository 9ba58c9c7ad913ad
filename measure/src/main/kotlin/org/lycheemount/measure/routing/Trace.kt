package org.lycheemount.measure.routing

import org.lycheemount.common.BackendTarget
import org.lycheemount.common.TeamId
import org.lycheemount.standin.enginemodel.EngineParameters
import kotlin.math.ln
import kotlin.random.Random

private const val TEAM_COUNT = 10
private const val TEMPLATES_PER_CLASS = 3
private const val BLOCK_TOKENS = 32
private const val MAX_TURNS = 4
private const val OPEN_SESSIONS = 12
private const val MIN_SIZE_FACTOR = 0.25
private const val MAX_SIZE_FACTOR = 3.0
private const val SERVICE_CALL_MEAN_US = 100_000L

/** Three large teams send 60% of the requests. */
private val teamWeights = listOf(0.25, 0.20, 0.15) + List(TEAM_COUNT - 3) { 0.40 / (TEAM_COUNT - 3) }

/** One request of a recorded or generated trace. */
internal class TraceRequest(
    val index: Int,
    val atUs: Long,
    val routerIndex: Int,
    val teamId: TeamId,
    val traffic: TrafficClass,
    val target: BackendTarget,
    val promptTokens: Int,
    val prefixHashes: List<Long>,
    val naturalTokens: Int,
    val serviceTimeUs: Long,
)

/** A time in which one team sends more. */
internal class Burst(
    val fromUs: Long,
    val untilUs: Long,
    val teamIndex: Int,
    val factor: Double,
)

/** Generates the same trace for the same arguments. */
internal class TraceGenerator(
    private val deployment: Deployment,
    private val parameters: EngineParameters,
    private val workerSlots: Int,
    seed: Long,
) {
    private class Session(
        val promptTokens: Int,
        val hashes: List<Long>,
        val turn: Int,
    )

    private val random = Random(seed)
    private val sessions = HashMap<Pair<Int, String>, ArrayDeque<Session>>()
    private var nextIndex = 0

    /**
     * Requests for [durationUs] at [load] times the capacity.
     *
     * Capacity is the rate that keeps every engine's batch full when all that recurs in prompts is cached everywhere.
     */
    fun generate(
        load: Double,
        durationUs: Long,
        burst: Burst? = null,
    ): List<TraceRequest> {
        val meanEngineUs = modelClasses.sumOf { it.share * it.engineTimeUs(parameters) }
        val modelRate = load * deployment.engines.size / meanEngineUs
        val serviceRate = load * deployment.workers.size * workerSlots / SERVICE_CALL_MEAN_US.toDouble()
        val requests = ArrayList<TraceRequest>()
        arrivals(modelRate, durationUs) { atUs -> requests += modelRequest(atUs, pickTeam()) }
        arrivals(serviceRate, durationUs) { atUs -> requests += serviceRequest(atUs) }
        if (burst != null) {
            val rate = modelRate * teamWeights[burst.teamIndex] * (burst.factor - 1)
            arrivals(rate, burst.untilUs - burst.fromUs) { requests += modelRequest(burst.fromUs + it, burst.teamIndex) }
        }
        return requests.sortedWith(compareBy({ it.atUs }, { it.index }))
    }

    private inline fun arrivals(
        ratePerUs: Double,
        durationUs: Long,
        emit: (Long) -> Unit,
    ) {
        var atUs = 0.0
        while (true) {
            atUs += -ln(1 - random.nextDouble()) / ratePerUs
            if (atUs >= durationUs) return
            emit(atUs.toLong())
        }
    }

    private fun modelRequest(
        atUs: Long,
        team: Int,
    ): TraceRequest {
        val traffic = pick(modelClasses) { it.share }
        val open = sessions.getOrPut(team to traffic.name) { ArrayDeque() }
        val start = if (open.isNotEmpty() && random.nextDouble() < traffic.followUpShare) open.random(random) else newSession(team, traffic)
        val ownBlocks = maxOf(1, (size(traffic.ownTokens) / BLOCK_TOKENS))
        val hashes = start.hashes + List(ownBlocks) { random.nextLong() }
        val session = Session(start.promptTokens + ownBlocks * BLOCK_TOKENS, hashes, start.turn + 1)
        if (session.turn < MAX_TURNS) open.addLast(session)
        if (open.size > OPEN_SESSIONS) open.removeFirst()
        return request(atUs, team, traffic, session, maxOf(2, size(traffic.outputTokens)), 0)
    }

    private fun newSession(
        team: Int,
        traffic: TrafficClass,
    ): Session {
        val template = random.nextInt(TEMPLATES_PER_CLASS)
        val seeded = Random(team * 10_007 + traffic.name.hashCode() + template * 101)
        val hashes = List(traffic.templateTokens / BLOCK_TOKENS) { seeded.nextLong() }
        return Session(hashes.size * BLOCK_TOKENS, hashes, 0)
    }

    private fun serviceRequest(atUs: Long): TraceRequest {
        val serviceUs = maxOf(1_000L, (SERVICE_CALL_MEAN_US * sizeFactor()).toLong())
        return request(atUs, pickTeam(), serviceClass, Session(0, emptyList(), 0), 0, serviceUs)
    }

    private fun request(
        atUs: Long,
        team: Int,
        traffic: TrafficClass,
        session: Session,
        naturalTokens: Int,
        serviceTimeUs: Long,
    ) = TraceRequest(
        nextIndex++,
        atUs,
        random.nextInt(deployment.routerCount),
        TeamId("team-$team"),
        traffic,
        if (traffic === serviceClass) deployment.service else deployment.model,
        session.promptTokens,
        session.hashes,
        naturalTokens,
        serviceTimeUs,
    )

    private fun pickTeam(): Int = pick(teamWeights.indices.toList()) { teamWeights[it] }

    private fun <T> pick(
        options: List<T>,
        weight: (T) -> Double,
    ): T {
        var left = random.nextDouble()
        for (option in options) {
            left -= weight(option)
            if (left < 0) return option
        }
        return options.last()
    }

    private fun size(mean: Int): Int = (mean * sizeFactor()).toInt()

    private fun sizeFactor(): Double = (-ln(1 - random.nextDouble())).coerceIn(MIN_SIZE_FACTOR, MAX_SIZE_FACTOR)
}
