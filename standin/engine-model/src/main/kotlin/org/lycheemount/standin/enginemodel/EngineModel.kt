package org.lycheemount.standin.enginemodel

import org.lycheemount.common.ModelId
import org.lycheemount.common.RequestId
import java.util.TreeSet
import kotlin.random.Random

/**
 * Simulated model engine with continuous batching in virtual time.
 *
 * Pure state machine: each call passes the time in microseconds, which must not decrease. Not thread-safe.
 * [advance] returns the events; the owner calls it at [nextEventUs] and before it reads any state.
 *
 * @param reportEachToken false reports only the first token of each attempt, which makes long simulations cheaper.
 */
class EngineModel(
    val parameters: EngineParameters = EngineParameters(),
    loadedModels: Map<ModelId, String>,
    startUs: Long = 0,
    seed: Int = 1,
    private val reportEachToken: Boolean = true,
) {
    private val queue = TreeSet(Sequence.SERVING_ORDER)
    private val running = ArrayList<Sequence>()
    private val byRequest = HashMap<RequestId, Sequence>()
    private val endedRequests = LinkedHashMap<RequestId, Int>()
    private val cacheLog = CacheEventLog(parameters, Random(seed))
    private val cache = PrefixCache(parameters.cacheBlocks, { logCacheEvent(it, true) }, { logCacheEvent(it, false) })
    private val loadHistory = LoadHistory(parameters, startUs)
    private val scheduledActions = ScheduledActions()
    private val models = HashMap(loadedModels)
    private val events = ArrayList<EngineEvent>()
    private var nowUs = startUs
    private var nextArrival = 0L
    private var stepEndUs: Long? = null
    private var pausedSinceUs: Long? = null

    /** Factor on the duration of each step from the next one on; 1 is normal speed. */
    var slowdown: Double = 1.0

    /** While true, submissions are refused; running and queued requests continue. */
    var leaving: Boolean = false

    /** Whether commands with a lower fencing token than the highest seen are refused. */
    var checksFencingToken: Boolean = true

    /** Share of cache events that are never published, from 0 to 1. */
    var cacheEventLossShare: Double by cacheLog::lossShare

    /** Greatest fencing token seen in a command. */
    var highestFencingToken: Long = 0
        private set

    /** Sequences in the batch now, without the delay of [load]. */
    val slotsHeld: Int get() = running.size

    /** Requests waiting for a slot now. */
    val queuedRequests: Int get() = queue.size

    /** Output tokens generated since the start. */
    var generatedTokens: Long = 0
        private set

    /** Blocks in the prefix cache now. */
    val cachedBlocks: Int get() = cache.size

    /** Queues a request, or refuses it. */
    fun submit(
        job: EngineJob,
        nowUs: Long,
    ): EngineAdmission {
        advanceTo(nowUs)
        if (leaving) return EngineAdmission.LEAVING
        if (job.modelId !in models) return EngineAdmission.MODEL_NOT_LOADED
        if (job.requestId in byRequest) return EngineAdmission.DUPLICATE
        if (queue.size + running.size >= parameters.slots + parameters.queueLimit) return EngineAdmission.QUEUE_FULL
        val sequence = Sequence(job, nextArrival++)
        queue += sequence
        byRequest[job.requestId] = sequence
        if (stepEndUs == null) startStep()
        return EngineAdmission.ACCEPTED
    }

    /** Ends a request and frees its slot at once. Recently ended requests are still found. */
    fun cancel(
        requestId: RequestId,
        nowUs: Long,
    ): EngineCancellation {
        advanceTo(nowUs)
        val sequence = byRequest.remove(requestId) ?: return EngineCancellation(requestId in endedRequests, endedRequests[requestId] ?: 0)
        queue.remove(sequence)
        running.remove(sequence)
        finish(sequence, REASON_CANCELLED)
        return EngineCancellation(true, sequence.nextToken)
    }

    /** Advances the time and returns all events since the last call, in order. */
    fun advance(nowUs: Long): List<EngineEvent> {
        advanceTo(nowUs)
        val happened = ArrayList(events)
        events.clear()
        return happened
    }

    /** Returns the time at which the current step ends, the current time if events are pending, or null while idle or paused. */
    fun nextEventUs(): Long? = if (events.isNotEmpty()) nowUs else stepEndUs.takeIf { pausedSinceUs == null }

    /** Returns the load as published at [nowUs]. */
    fun load(nowUs: Long): EngineLoadView {
        advanceTo(nowUs)
        val sample = loadHistory.published(nowUs)
        return EngineLoadView(
            ageUs = nowUs - sample.takenAtUs,
            runningRequests = sample.running,
            queuedRequests = sample.queued,
            capacity = parameters.slots,
            leaving = leaving,
            loadedModels = models.toMap(),
            highestFencingToken = highestFencingToken,
        )
    }

    /** Returns the published cache events after [afterSequence]. */
    fun cacheEvents(
        afterSequence: Long,
        nowUs: Long,
    ): CacheEventView {
        advanceTo(nowUs)
        return cacheLog.read(afterSequence, nowUs)
    }

    /** Returns how many leading blocks of [prefixHashes] can be exported. */
    fun exportableBlocks(prefixHashes: List<Long>): Int = cache.countCached(prefixHashes)

    /** Starts the import of [prefixHashes] from another engine and returns the time at which they are available. */
    fun importBlocks(
        prefixHashes: List<Long>,
        nowUs: Long,
    ): Long {
        advanceTo(nowUs)
        val readyAtUs = nowUs + parameters.cacheMoveBaseUs + prefixHashes.size * parameters.cacheMovePerBlockUs
        scheduledActions.add(readyAtUs) { cache.store(prefixHashes) }
        return readyAtUs
    }

    /** Starts loading [version] of [modelId], available after the load time. Returns false if the fencing token is stale. */
    fun loadModel(
        modelId: ModelId,
        version: String,
        fencingToken: Long,
        nowUs: Long,
    ): Boolean {
        advanceTo(nowUs)
        if (!acceptFencingToken(fencingToken)) return false
        if (models[modelId] != version) scheduledActions.add(nowUs + parameters.weightLoadUs) { models[modelId] = version }
        return true
    }

    /** Unloads [modelId] at once; running requests continue. Returns false if the fencing token is stale. */
    fun unloadModel(
        modelId: ModelId,
        fencingToken: Long,
        nowUs: Long,
    ): Boolean {
        advanceTo(nowUs)
        if (!acceptFencingToken(fencingToken)) return false
        models.remove(modelId)
        return true
    }

    /** Stops all progress, as a hung device does, until [resume]. */
    fun pause(nowUs: Long) {
        advanceTo(nowUs)
        if (pausedSinceUs == null) pausedSinceUs = nowUs
    }

    /** Resumes after [pause]; the current step ends later by the length of the pause. */
    fun resume(nowUs: Long) {
        advanceTo(nowUs)
        val since = pausedSinceUs ?: return
        pausedSinceUs = null
        stepEndUs = stepEndUs?.plus(nowUs - since)
    }

    private fun acceptFencingToken(fencingToken: Long): Boolean {
        if (checksFencingToken && fencingToken < highestFencingToken) return false
        highestFencingToken = maxOf(highestFencingToken, fencingToken)
        return true
    }

    private fun advanceTo(targetUs: Long) {
        check(targetUs >= nowUs) { "time must not decrease: $nowUs to $targetUs" }
        while (true) {
            val stepEnd = stepEndUs.takeIf { pausedSinceUs == null } ?: Long.MAX_VALUE
            val actionUs = scheduledActions.nextActionUs() ?: Long.MAX_VALUE
            val next = minOf(stepEnd, actionUs)
            if (next > targetUs) break
            loadHistory.recordUntil(next - 1, running.size, queue.size)
            nowUs = next
            if (actionUs <= stepEnd) scheduledActions.runNext() else endStep()
        }
        loadHistory.recordUntil(targetUs, running.size, queue.size)
        nowUs = targetUs
    }

    private fun startStep() {
        while (running.size < parameters.slots) {
            val sequence = queue.pollFirst() ?: break
            sequence.start(cache.touchCached(sequence.job.prefixHashes))
            running += sequence
        }
        if (running.isEmpty()) {
            stepEndUs = null
            return
        }
        var budget = parameters.prefillTokensPerStep
        var decoding = 0
        for (sequence in running) {
            val share = minOf(budget, sequence.remainingPrefillTokens)
            sequence.remainingPrefillTokens -= share
            budget -= share
            sequence.decodesInStep = sequence.remainingPrefillTokens == 0
            if (sequence.decodesInStep) decoding++
        }
        val prefilled = parameters.prefillTokensPerStep - budget
        val durationUs =
            parameters.stepBaseUs + decoding * parameters.stepPerSequenceUs + prefilled * parameters.prefillPerTokenUs
        stepEndUs = nowUs + maxOf(1L, (durationUs * slowdown).toLong())
    }

    private fun endStep() {
        val iterator = running.iterator()
        while (iterator.hasNext()) {
            val sequence = iterator.next()
            if (!sequence.decodesInStep) continue
            decode(sequence)
            if (sequence.nextToken < sequence.totalTokens) continue
            iterator.remove()
            byRequest.remove(sequence.job.requestId)
            finish(sequence, if (sequence.totalTokens < sequence.job.naturalTokens) REASON_LENGTH else REASON_STOP)
        }
        startStep()
    }

    private fun decode(sequence: Sequence) {
        val first = sequence.nextToken == sequence.job.startAtToken
        if (first) cache.store(sequence.job.prefixHashes)
        if (sequence.nextToken >= sequence.totalTokens) return
        if (first || reportEachToken) events += EngineEvent.Token(sequence.job.requestId, nowUs, sequence.nextToken, first)
        sequence.nextToken++
        generatedTokens++
    }

    private fun finish(
        sequence: Sequence,
        reason: String,
    ) {
        endedRequests[sequence.job.requestId] = sequence.nextToken
        if (endedRequests.size > MAX_ENDED_REQUESTS) endedRequests.remove(endedRequests.keys.first())
        events += EngineEvent.Finished(sequence.job.requestId, nowUs, reason, sequence.nextToken, sequence.cachedTokens)
    }

    private fun logCacheEvent(
        hash: Long,
        stored: Boolean,
    ) = cacheLog.append(hash, stored, nowUs)

    /** Finish reasons. */
    companion object {
        /** The completion reached its natural end. */
        const val REASON_STOP: String = "stop"

        /** The completion reached the request's output limit. */
        const val REASON_LENGTH: String = "length"

        /** The request was cancelled. */
        const val REASON_CANCELLED: String = "cancelled"

        private const val MAX_ENDED_REQUESTS = 4_096
    }
}
