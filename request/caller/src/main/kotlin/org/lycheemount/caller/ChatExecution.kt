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
 * Executes one chat completion from reservation to settlement. It is settled exactly once, by [settle] or [onCallerDisconnected].
 *
 * @param scope ends with the caller's connection.
 */
internal class ChatExecution(
    private val services: CallerServices,
    private val metrics: CallerMetrics,
    private val canceller: EngineCanceller,
    private val chat: AdmittedChatRequest,
    scope: CoroutineScope,
) : AttemptController,
    OutputReservation,
    OpenRequest {
    private val target = BackendTarget.Model(chat.model.modelId)
    private val isSettled = AtomicBoolean()
    private var hasSeenFirstToken = false

    @Volatile
    private var isCancelled = false

    @Volatile
    override var reservedOutputTokens: Int = 0
        private set

    override val requestId: RequestId get() = chat.requestId
    override val teamId: TeamId get() = chat.admission.team.teamId

    val stream =
        CompletionStream(
            CompletionRequest(requestId, chat.model.modelId, chat.prompt.text, chat.prompt.promptTokens, chat.prompt.prefixHashes),
            services.engine,
            attempts = this,
            reservation = this,
            canceller,
            services.limits.streamTimeouts,
            scope,
        )

    /** Reserves the maximum output, or one step if the budget does not cover it. Returns a refusal if neither is available. */
    suspend fun reserve(reserver: TokenReserver): Refusal? {
        val promptTokens = chat.prompt.promptTokens.toLong()
        val step = minOf(chat.maxOutputTokens, services.limits.reservationStepTokens)
        val budgetId = chat.admission.team.budgetId
        val reserved =
            reserver
                .reserve(requestId, budgetId, promptTokens + step, promptTokens + chat.maxOutputTokens)
                .getOrElse { return it }
        reservedOutputTokens = (reserved - promptTokens).toInt()
        return null
    }

    override fun extend(): Boolean {
        val step = minOf(chat.maxOutputTokens - reservedOutputTokens, services.limits.reservationStepTokens)
        if (isCancelled || step <= 0) return false
        val outcome = services.ledger.extend(requestId, step.toLong(), services.clock.monotonicMs())
        if (outcome is ReservationOutcome.Reserved) reservedOutputTokens += step
        return outcome is ReservationOutcome.Reserved
    }

    override suspend fun acquire(excluded: Set<BackendServerId>): AttemptPermit {
        if (isCancelled) return AttemptPermit.Refused(cancelledRefusal())
        return services.dispatcher.acquire(workItem(excluded))
    }

    override fun tryRetry(): Boolean {
        if (isCancelled) return false
        val allowed = chat.admission.tryRetry()
        (if (allowed) metrics.retries else metrics.retriesDenied).labelValues(KIND).inc()
        return allowed
    }

    override fun onFirstToken() {
        services.dispatcher.onServiceEvent(requestId, ServiceEvent.FirstToken)
        if (hasSeenFirstToken) return
        hasSeenFirstToken = true
        metrics.firstTokenSeconds.observe((services.clock.monotonicMs() - chat.arrivedAtMs) / MS_PER_SECOND)
    }

    override fun onCompleted(
        outputTokens: Int,
        cachedPromptTokens: Int,
    ) = services.dispatcher.onServiceEvent(requestId, ServiceEvent.Completed(outputTokens, cachedPromptTokens))

    override fun onFailed(failure: AttemptFailure) = services.dispatcher.onFailure(requestId, failure)

    /** Settles or releases the reservation according to [end]. */
    fun settle(end: CompletionStep.End) {
        if (!isSettled.compareAndSet(false, true)) return
        when (end) {
            is CompletionStep.Finished -> charge(end.outputTokens)
            is CompletionStep.NotRun -> services.ledger.release(requestId, services.clock.monotonicMs())
            is CompletionStep.Broken -> if (end.deliveredTokens > 0) charge(end.deliveredTokens) else chargeFullReservation()
        }
    }

    /** Cancels the generation after the caller has disconnected and bills the generated tokens, in the background. */
    fun onCallerDisconnected() {
        if (!isSettled.compareAndSet(false, true)) return
        isCancelled = true
        metrics.disconnectedCallers.inc()
        services.drain.retain()
        val server = stream.server
        services.scope.launch {
            if (server == null) settleWithoutAttempt() else settleRunningAttempt(server)
            services.drain.release()
        }
    }

    override suspend fun cancel(): CancelReply {
        isCancelled = true
        if (services.dispatcher.refuseIfQueued(requestId, cancelledRefusal())) return CancelReply(CancelResult.NOT_RUN)
        val server = stream.server ?: return CancelReply(CancelResult.UNKNOWN, stream.deliveredTokens)
        val cancelResponse = canceller.cancel(server, requestId, stream.hasAttemptStarted) ?: return CancelReply(CancelResult.UNKNOWN)
        return CancelReply(CancelResult.RAN, maxOf(stream.deliveredTokens, cancelResponse.generatedTokens))
    }

    override fun describe(): JsonObject =
        buildJsonObject {
            put("requestId", requestId.value)
            put("teamId", teamId.value)
            put("modelId", chat.model.modelId.value)
            put("backendServerId", stream.server?.backendServerId?.value)
            put("ageMs", services.clock.monotonicMs() - chat.arrivedAtMs)
            put("deliveredTokens", stream.deliveredTokens)
            put("reservedOutputTokens", reservedOutputTokens)
        }

    private fun workItem(excluded: Set<BackendServerId>) =
        WorkItem(
            requestId = requestId,
            teamId = teamId,
            workClassId = chat.options.workClassId,
            target = target,
            promptTokens = chat.prompt.promptTokens,
            maxOutputTokens = chat.maxOutputTokens - stream.deliveredTokens,
            prefixHashes = chat.prompt.prefixHashes,
            arrivedAtMs = chat.arrivedAtMs,
            deadlineAtMs = chat.options.deadlineAtMs,
            queueShare = chat.admission.team.limits.queueShare,
            excludedServers = excluded.toSet(),
        )

    private suspend fun settleRunningAttempt(server: BackendServer) {
        val cancelResponse = canceller.cancel(server, requestId, stream.hasAttemptStarted)
        services.dispatcher.cancel(requestId)
        charge(maxOf(stream.deliveredTokens, cancelResponse?.generatedTokens ?: 0).coerceAtMost(reservedOutputTokens))
    }

    private fun settleWithoutAttempt() {
        services.dispatcher.cancel(requestId)
        when {
            stream.deliveredTokens > 0 -> charge(stream.deliveredTokens)
            stream.mayHaveRun -> chargeFullReservation()
            else -> services.ledger.release(requestId, services.clock.monotonicMs())
        }
    }

    private fun charge(completionTokens: Int) {
        metrics.completionTokens.inc(completionTokens.toDouble())
        settleWith(Charge(teamId, target, chat.prompt.promptTokens.toLong(), completionTokens.toLong()))
    }

    private fun chargeFullReservation() =
        settleWith(Charge(teamId, target, chat.prompt.promptTokens.toLong(), reservedOutputTokens.toLong(), outcomeKnown = false))

    private fun settleWith(charge: Charge) {
        services.ledger.settle(requestId, charge, services.clock.monotonicMs())
    }

    private fun cancelledRefusal() = Refusal(RefusalReason.CALLER_GONE, "the request was cancelled")

    private companion object {
        private const val KIND = "chat"
        private const val MS_PER_SECOND = 1_000.0
    }
}
