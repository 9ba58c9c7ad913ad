package org.lycheemount.claims

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.lycheemount.common.IdempotencyKey
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.RequestId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.StateDumpSource
import org.lycheemount.common.TeamId

/** Decides claims at the pair of routers that the table assigns to the partition of a key. */
internal class DefaultClaimRegistry(
    private val context: ClaimContext,
) : ClaimRegistry,
    StateDumpSource {
    private val options = context.options
    private val partitions = List(options.partitions) { ClaimPartition(context, it) }

    override val name = "claims"

    init {
        context.peers.register(CLAIMS_CHANNEL) { _, payload -> onMessage(payload) }
    }

    /** Starts the background work: reads partition rows, writes outcomes and removes expired ones. */
    fun start(scope: CoroutineScope): Job =
        scope.launch {
            launch { repeatEvery(options.refreshIntervalMs) { refreshPartitions() } }
            launch { repeatEvery(options.flushIntervalMs) { flush() } }
        }

    /** Writes pending outcomes until all are written or the table does not respond. */
    suspend fun flush() {
        while (context.outcomes.flush()) Unit
    }

    /** Closes the partitions of which this router is primary, for at most [CLOSE_TIMEOUT_MS], and then writes pending outcomes. */
    suspend fun close() {
        withTimeoutOrNull(CLOSE_TIMEOUT_MS) { partitions.forEach { it.close() } }
        flush()
    }

    override suspend fun claim(
        teamId: TeamId,
        key: IdempotencyKey,
        requestId: RequestId,
        requestFingerprint: String,
    ): ClaimOutcome {
        val request = ClaimRequest(ClaimKey(teamId, key), requestId, requestFingerprint, context.self)
        val caller = currentCoroutineContext()[Job]
        // An interrupted claim would block its key, so it is completed, and released if the caller is gone.
        return withContext(NonCancellable) {
            val outcome = decide(request)
            if (outcome is ClaimOutcome.Granted && caller?.isActive == false) releaseClaim(request)
            outcome
        }
    }

    private suspend fun decide(request: ClaimRequest): ClaimOutcome {
        val partition = partitionOf(request.key)
        val deadlineMs = context.clock.monotonicMs() + options.claimTimeoutMs
        var retryDelayMs = INITIAL_RETRY_DELAY_MS
        while (true) {
            val reply = callPair(partition) { view -> ClaimMessage.Claim(partition.partition, view, request) }
            toClaimOutcome(reply)?.let { return it }
            if (context.clock.monotonicMs() + retryDelayMs > deadlineMs) return refuseUndecided(partition, request)
            delay(retryDelayMs)
            retryDelayMs = (retryDelayMs * 2).coerceAtMost(MAX_RETRY_DELAY_MS)
        }
    }

    override suspend fun finish(
        teamId: TeamId,
        key: IdempotencyKey,
        requestId: RequestId,
        outcome: RecordedOutcome,
    ) {
        val request = ClaimRequest(ClaimKey(teamId, key), requestId, "", context.self)
        val partition = partitionOf(request.key)
        repeat(FINISH_ATTEMPTS) { attempt ->
            val reply = callPair(partition) { view -> ClaimMessage.Finish(partition.partition, view, request, outcome) }
            if (reply is ClaimReply.Done) return
            delay((INITIAL_RETRY_DELAY_MS shl attempt).coerceAtMost(MAX_FINISH_RETRY_DELAY_MS))
        }
        context.log.warn("claim_outcome_not_recorded", "request_id" to requestId.value)
    }

    override fun dumpState(): JsonObject =
        buildJsonObject {
            put("partitions", partitions.size)
            put("partitionsAsPrimary", partitions.count { it.view?.primary == context.self })
            put("partitionsAsSecondary", partitions.count { it.view?.secondary == context.self })
            put("partitionsWithoutPair", partitions.count { it.view == null })
            put("outcomesNotYetWritten", context.outcomes.pendingWriteCount)
        }

    private suspend fun onMessage(payload: ByteArray): ByteArray? {
        val message = decodeMessage(payload) ?: return null
        return partitions.getOrNull(message.partition)?.let { encodeReply(it.onMessage(message)) }
    }

    /** Calls the members of the pair in turn. Returns null if neither could process the message. */
    private suspend fun callPair(
        partition: ClaimPartition,
        message: (PartitionRow?) -> ClaimMessage,
    ): ClaimReply? {
        val view = partition.ensureView() ?: return null
        for (member in listOf(view.primary, view.secondary)) {
            val reply = callMember(partition, member, message(partition.view))
            if (reply !is ClaimReply.Unable) reply?.let { return it }
            val newer = (reply as? ClaimReply.Unable)?.view ?: continue
            if (newer.epoch > (partition.view?.epoch ?: 0)) partition.adopt(newer)
            if (partition.view != view) return null
        }
        if (view.closed || context.isGone(view.primary)) partition.takeOverLostPartition()
        return null
    }

    private suspend fun callMember(
        partition: ClaimPartition,
        member: RouterIdentity,
        message: ClaimMessage,
    ): ClaimReply? = if (member == context.self) partition.onMessage(message) else context.call(member.routerId, message)

    private fun toClaimOutcome(reply: ClaimReply?): ClaimOutcome? =
        when (reply) {
            ClaimReply.Granted -> ClaimOutcome.Granted
            is ClaimReply.Running -> ClaimOutcome.AlreadyRunning(reply.holder)
            is ClaimReply.Finished -> ClaimOutcome.Finished(reply.outcome)
            is ClaimReply.Refused -> ClaimOutcome.Refused(reply.refusal)
            ClaimReply.Done, is ClaimReply.Unable, null -> null
        }

    /** The claim may have been recorded although no reply arrived. It is released, because the request will not run. */
    private suspend fun refuseUndecided(
        partition: ClaimPartition,
        request: ClaimRequest,
    ): ClaimOutcome {
        val refusal =
            Refusal(RefusalReason.CLAIM_UNAVAILABLE, "the routers that decide on this idempotency key do not respond", MAX_RETRY_DELAY_MS)
        callPair(partition) { view -> ClaimMessage.Finish(partition.partition, view, request, RecordedOutcome.NotRun(refusal)) }
        return ClaimOutcome.Refused(refusal)
    }

    private suspend fun releaseClaim(request: ClaimRequest) {
        val refusal = Refusal(RefusalReason.CALLER_GONE, "the caller has gone")
        finish(request.key.teamId, request.key.key, request.requestId, RecordedOutcome.NotRun(refusal))
    }

    private suspend fun refreshPartitions() {
        val rows = context.partitionRows.readAll()?.associateBy { it.partition }
        if (rows != null) partitions.forEach { it.reconcileWithTable(rows[it.partition]) }
        partitions.forEach { it.removeExpired() }
    }

    private suspend fun repeatEvery(
        intervalMs: Long,
        action: suspend () -> Unit,
    ) {
        while (true) {
            action()
            delay(intervalMs)
        }
    }

    private fun partitionOf(key: ClaimKey): ClaimPartition {
        val hash = "${key.teamId.value}\n${key.key.value}".fold(7) { hash, char -> hash * 31 + char.code }
        return partitions[Math.floorMod(hash * HASH_MULTIPLIER ushr HASH_SHIFT, partitions.size)]
    }

    private companion object {
        private const val CLOSE_TIMEOUT_MS = 5_000L
        private const val INITIAL_RETRY_DELAY_MS = 20L
        private const val MAX_RETRY_DELAY_MS = 500L
        private const val FINISH_ATTEMPTS = 12
        private const val MAX_FINISH_RETRY_DELAY_MS = 10_000L
        private const val HASH_MULTIPLIER = -1_640_531_527
        private const val HASH_SHIFT = 8
    }
}
