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
private const val MAX_OPEN_SESSIONS = 12
private const val MIN_SIZE_FACTOR = 0.25
private const val MAX_SIZE_FACTOR = 3.0
private const val SERVICE_CALL_MEAN_US = 100_000L

/** Three large teams send 60% of the requests. */
private val teamWeights = listOf(0.25, 0.20, 0.15) + List(TEAM_COUNT - 3) { 0.40 / (TEAM_COUNT - 3) }

/** One request of a recorded or generated trace. */
internal class TraceRequest(
    val index: Int,
    val arrivalUs: Long,
    val routerIndex: Int,
    val teamId: TeamId,
    val trafficClass: TrafficClass,
    val target: BackendTarget,
    val promptTokens: Int,
    val prefixHashes: List<Long>,
    val outputTokens: Int,
    val serviceTimeUs: Long,
)

/** Time range in which one team sends [factor] times its usual requests. */
internal class Burst(
    val startUs: Long,
    val endUs: Long,
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
     * Generates requests for [durationUs] at [loadFactor] times the capacity.
     *
     * Capacity is the rate that keeps every engine's batch full if all recurring parts of prompts are cached on every engine.
     */
    fun generate(
        loadFactor: Double,
        durationUs: Long,
        burst: Burst? = null,
    ): List<TraceRequest> {
        val meanEngineUs = modelClasses.sumOf { it.share * it.engineTimeUs(parameters) }
        val modelRate = loadFactor * deployment.engines.size / meanEngineUs
        val serviceRate = loadFactor * deployment.workers.size * workerSlots / SERVICE_CALL_MEAN_US.toDouble()
        val requests = ArrayList<TraceRequest>()
        generateArrivals(modelRate, durationUs) { atUs -> requests += createModelRequest(atUs, pickTeam()) }
        generateArrivals(serviceRate, durationUs) { atUs -> requests += createServiceRequest(atUs) }
        if (burst != null) {
            val rate = modelRate * teamWeights[burst.teamIndex] * (burst.factor - 1)
            generateArrivals(rate, burst.endUs - burst.startUs) { requests += createModelRequest(burst.startUs + it, burst.teamIndex) }
        }
        return requests.sortedWith(compareBy({ it.arrivalUs }, { it.index }))
    }

    private inline fun generateArrivals(
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

    private fun createModelRequest(
        atUs: Long,
        team: Int,
    ): TraceRequest {
        val trafficClass = pick(modelClasses) { it.share }
        val openSessions = sessions.getOrPut(team to trafficClass.name) { ArrayDeque() }
        val continuesSession = openSessions.isNotEmpty() && random.nextDouble() < trafficClass.followUpShare
        val previous = if (continuesSession) openSessions.random(random) else createSession(team, trafficClass)
        val suffixBlocks = maxOf(1, (randomSize(trafficClass.suffixTokens) / BLOCK_TOKENS))
        val hashes = previous.hashes + List(suffixBlocks) { random.nextLong() }
        val session = Session(previous.promptTokens + suffixBlocks * BLOCK_TOKENS, hashes, previous.turn + 1)
        if (session.turn < MAX_TURNS) openSessions.addLast(session)
        if (openSessions.size > MAX_OPEN_SESSIONS) openSessions.removeFirst()
        return createRequest(atUs, team, trafficClass, session, maxOf(2, randomSize(trafficClass.outputTokens)), 0)
    }

    private fun createSession(
        team: Int,
        trafficClass: TrafficClass,
    ): Session {
        val template = random.nextInt(TEMPLATES_PER_CLASS)
        val templateRandom = Random(team * 10_007 + trafficClass.name.hashCode() + template * 101)
        val hashes = List(trafficClass.templateTokens / BLOCK_TOKENS) { templateRandom.nextLong() }
        return Session(hashes.size * BLOCK_TOKENS, hashes, 0)
    }

    private fun createServiceRequest(atUs: Long): TraceRequest {
        val serviceUs = maxOf(1_000L, (SERVICE_CALL_MEAN_US * randomSizeFactor()).toLong())
        return createRequest(atUs, pickTeam(), serviceClass, Session(0, emptyList(), 0), 0, serviceUs)
    }

    private fun createRequest(
        atUs: Long,
        team: Int,
        trafficClass: TrafficClass,
        session: Session,
        outputTokens: Int,
        serviceTimeUs: Long,
    ) = TraceRequest(
        nextIndex++,
        atUs,
        random.nextInt(deployment.routerCount),
        TeamId("team-$team"),
        trafficClass,
        if (trafficClass === serviceClass) deployment.service else deployment.model,
        session.promptTokens,
        session.hashes,
        outputTokens,
        serviceTimeUs,
    )

    private fun pickTeam(): Int = pick(teamWeights.indices.toList()) { teamWeights[it] }

    private fun <T> pick(
        options: List<T>,
        weight: (T) -> Double,
    ): T {
        var remaining = random.nextDouble()
        for (option in options) {
            remaining -= weight(option)
            if (remaining < 0) return option
        }
        return options.last()
    }

    private fun randomSize(mean: Int): Int = (mean * randomSizeFactor()).toInt()

    private fun randomSizeFactor(): Double = (-ln(1 - random.nextDouble())).coerceIn(MIN_SIZE_FACTOR, MAX_SIZE_FACTOR)
}
