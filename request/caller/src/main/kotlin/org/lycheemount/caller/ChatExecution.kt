package org.lycheemount.caller

import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.lycheemount.backend.AttemptFailure
import org.lycheemount.budget.Charge
import org.lycheemount.budget.ReservationOutcome
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.RequestId
import org.lycheemount.common.TeamId
import org.lycheemount.scheduling.ServiceEvent
import org.lycheemount.scheduling.WorkItem
import org.lycheemount.stream.AttemptController
import org.lycheemount.stream.AttemptPermit
import org.lycheemount.stream.CompletionRequest
import org.lycheemount.stream.CompletionStep
import org.lycheemount.stream.CompletionStream
import org.lycheemount.stream.EngineCanceller
import org.lycheemount.stream.OutputReservation
import java.util.concurrent.atomic.AtomicBoolean

/**
 * One chat completion from reservation to settlement. It is settled exactly once, by [settle] or by [onCallerGone].
 *
 * @param scope of the caller's connection.
 */
internal class ChatExecution(
    private val services: CallerServices,
    private val metrics: CallerMetrics,
    private val canceller: EngineCanceller,
    private val work: ChatWork,
    scope: CoroutineScope,
) : AttemptController,
    OutputReservation,
    OpenRequest {
    private val target = BackendTarget.Model(work.model.modelId)
    private val settled = AtomicBoolean()
    private var firstTokenSeen = false

    @Volatile
    private var cancelled = false

    @Volatile
    override var reservedOutputTokens: Int = 0
        private set

    override val requestId: RequestId get() = work.requestId
    override val teamId: TeamId get() = work.entry.team.teamId

    val stream =
        CompletionStream(
            CompletionRequest(requestId, work.model.modelId, work.prompt.text, work.prompt.promptTokens, work.prompt.prefixHashes),
            services.engine,
            attempts = this,
            reservation = this,
            canceller,
            services.limits.streamTimeouts,
            scope,
        )

    /** Reserves the worst case, or a first step when the budget runs short; returns the refusal of both. */
    suspend fun reserve(reserver: Reserver): Refusal? {
        val promptTokens = work.prompt.promptTokens.toLong()
        val step = minOf(work.maxOutputTokens, services.limits.reservationStepTokens)
        val budgetId = work.entry.team.budgetId
        val reserved =
            reserver
                .reserve(requestId, budgetId, promptTokens + step, promptTokens + work.maxOutputTokens)
                .getOrElse { return it }
        reservedOutputTokens = (reserved - promptTokens).toInt()
        return null
    }

    override fun extend(): Boolean {
        val step = minOf(work.maxOutputTokens - reservedOutputTokens, services.limits.reservationStepTokens)
        if (cancelled || step <= 0) return false
        val outcome = services.ledger.extend(requestId, step.toLong(), services.clock.monotonicMs())
        if (outcome is ReservationOutcome.Reserved) reservedOutputTokens += step
        return outcome is ReservationOutcome.Reserved
    }

    override suspend fun acquire(excluded: Set<BackendServerId>): AttemptPermit {
        if (cancelled) return AttemptPermit.Refused(cancelledRefusal())
        return services.dispatcher.acquire(workItem(excluded))
    }

    override fun tryRetry(): Boolean {
        if (cancelled) return false
        val allowed = work.entry.tryRetry()
        (if (allowed) metrics.retries else metrics.retriesDenied).labelValues(KIND).inc()
        return allowed
    }

    override fun onFirstToken() {
        services.dispatcher.onServiceEvent(requestId, ServiceEvent.FirstToken)
        if (firstTokenSeen) return
        firstTokenSeen = true
        metrics.firstTokenSeconds.observe((services.clock.monotonicMs() - work.arrivedAtMs) / MS_PER_SECOND)
    }

    override fun onCompleted(
        outputTokens: Int,
        cachedPromptTokens: Int,
    ) = services.dispatcher.onServiceEvent(requestId, ServiceEvent.Completed(outputTokens, cachedPromptTokens))

    override fun onFailed(failure: AttemptFailure) = services.dispatcher.onFailure(requestId, failure)

    /** Settles or releases the reservation by the [end] of the answer. */
    fun settle(end: CompletionStep.End) {
        if (!settled.compareAndSet(false, true)) return
        when (end) {
            is CompletionStep.Finished -> charge(end.outputTokens)
            is CompletionStep.NotRun -> services.ledger.release(requestId, services.clock.monotonicMs())
            is CompletionStep.Broken -> if (end.deliveredTokens > 0) charge(end.deliveredTokens) else chargeInFull()
        }
    }

    /** Frees the engine's slot after the caller has left and bills what was generated, in the background. */
    fun onCallerGone() {
        if (!settled.compareAndSet(false, true)) return
        cancelled = true
        metrics.callersGone.inc()
        services.drain.extend()
        val server = stream.server
        services.scope.launch {
            if (server == null) settleWithoutAttempt() else settleAbandoned(server)
            services.drain.leave()
        }
    }

    override suspend fun cancel(): CancelReply {
        cancelled = true
        if (services.dispatcher.abandon(requestId, cancelledRefusal())) return CancelReply(CancelResult.NOT_RUN)
        val server = stream.server ?: return CancelReply(CancelResult.UNKNOWN, stream.deliveredTokens)
        val answer = canceller.cancel(server, requestId, stream.hasAttemptStarted) ?: return CancelReply(CancelResult.UNKNOWN)
        return CancelReply(CancelResult.RAN, maxOf(stream.deliveredTokens, answer.generatedTokens))
    }

    override fun describe(): JsonObject =
        buildJsonObject {
            put("requestId", requestId.value)
            put("teamId", teamId.value)
            put("modelId", work.model.modelId.value)
            put("backendServerId", stream.server?.backendServerId?.value)
            put("ageMs", services.clock.monotonicMs() - work.arrivedAtMs)
            put("deliveredTokens", stream.deliveredTokens)
            put("reservedOutputTokens", reservedOutputTokens)
        }

    private fun workItem(excluded: Set<BackendServerId>) =
        WorkItem(
            requestId = requestId,
            teamId = teamId,
            workClassId = work.terms.workClassId,
            target = target,
            promptTokens = work.prompt.promptTokens,
            maxOutputTokens = work.maxOutputTokens - stream.deliveredTokens,
            prefixHashes = work.prompt.prefixHashes,
            arrivedAtMs = work.arrivedAtMs,
            deadlineAtMs = work.terms.deadlineAtMs,
            queueShare = work.entry.team.limits.queueShare,
            excludedServers = excluded.toSet(),
        )

    private suspend fun settleAbandoned(server: BackendServer) {
        val answer = canceller.cancel(server, requestId, stream.hasAttemptStarted)
        services.dispatcher.cancel(requestId)
        charge(maxOf(stream.deliveredTokens, answer?.generatedTokens ?: 0).coerceAtMost(reservedOutputTokens))
    }

    private fun settleWithoutAttempt() {
        services.dispatcher.cancel(requestId)
        when {
            stream.deliveredTokens > 0 -> charge(stream.deliveredTokens)
            stream.mayHaveRun -> chargeInFull()
            else -> services.ledger.release(requestId, services.clock.monotonicMs())
        }
    }

    private fun charge(completionTokens: Int) {
        metrics.completionTokens.inc(completionTokens.toDouble())
        settleAs(Charge(teamId, target, work.prompt.promptTokens.toLong(), completionTokens.toLong()))
    }

    private fun chargeInFull() =
        settleAs(Charge(teamId, target, work.prompt.promptTokens.toLong(), reservedOutputTokens.toLong(), outcomeKnown = false))

    private fun settleAs(charge: Charge) {
        services.ledger.settle(requestId, charge, services.clock.monotonicMs())
    }

    private fun cancelledRefusal() = Refusal(RefusalReason.CALLER_GONE, "the request was cancelled")

    private companion object {
        private const val KIND = "chat"
        private const val MS_PER_SECOND = 1_000.0
    }
}
