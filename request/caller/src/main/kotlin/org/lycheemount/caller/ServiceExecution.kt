package org.lycheemount.caller

import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.lycheemount.backend.AttemptFailure
import org.lycheemount.backend.ServiceCall
import org.lycheemount.backend.ServiceCallOutcome
import org.lycheemount.budget.Charge
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.MemoryAccount
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.RequestId
import org.lycheemount.common.RunOutcome
import org.lycheemount.common.TeamId
import org.lycheemount.config.PlainService
import org.lycheemount.scheduling.ServiceEvent
import org.lycheemount.scheduling.WorkItem
import org.lycheemount.stream.AttemptPermit

/** A validated call to a plain service that has passed admission. */
internal class AdmittedServiceCall(
    val requestId: RequestId,
    val admission: AdmissionController.Admission,
    val service: PlainService,
    val options: RequestOptions,
    val arrivedAtMs: Long,
    val isIdempotent: Boolean,
    val method: String,
    val pathAndQuery: String,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
)

/** Executes one call to a plain service from reservation to settlement. A started call continues after its caller disconnects. */
internal class ServiceExecution(
    private val services: CallerServices,
    private val metrics: CallerMetrics,
    private val reserver: TokenReserver,
    private val call: AdmittedServiceCall,
    private val memory: MemoryAccount,
) : OpenRequest {
    private val target = BackendTarget.Service(call.service.serviceId)
    private val excluded = mutableSetOf<BackendServerId>()
    private var mayHaveRun = false

    /** Memory that is reserved for the response while it is read. */
    private var responseBytes = 0L

    override val requestId: RequestId get() = call.requestId
    override val teamId: TeamId get() = call.admission.team.teamId

    /** Runs and settles the call. It is retried only if it is idempotent or has certainly not run. */
    suspend fun run(): RunOutcome<ServiceCallOutcome.Response> {
        val price = call.service.callPriceTokens
        reserver.reserve(requestId, call.admission.team.budgetId, price, price).getOrElse { return RunOutcome.NotRun(it) }
        val outcome = runAttempts()
        when (outcome) {
            is RunOutcome.Ran -> settle(outcomeKnown = true)
            is RunOutcome.Unknown -> settle(outcomeKnown = false)
            is RunOutcome.NotRun -> services.ledger.release(requestId, services.clock.monotonicMs())
        }
        return outcome
    }

    /** Cancels the call while it waits for a server; returns false once it has started, as it cannot be undone. */
    fun cancelIfQueued(): Boolean =
        services.dispatcher.refuseIfQueued(requestId, Refusal(RefusalReason.CALLER_GONE, "the request was cancelled"))

    override suspend fun cancel(): CancelReply = CancelReply(if (cancelIfQueued()) CancelResult.NOT_RUN else CancelResult.UNKNOWN)

    override fun describe(): JsonObject =
        buildJsonObject {
            put("requestId", requestId.value)
            put("teamId", teamId.value)
            put("serviceId", call.service.serviceId.value)
            put("ageMs", services.clock.monotonicMs() - call.arrivedAtMs)
        }

    private suspend fun runAttempts(): RunOutcome<ServiceCallOutcome.Response> {
        while (true) {
            val permit =
                when (val permit = services.dispatcher.acquire(workItem())) {
                    is AttemptPermit.Granted -> permit
                    is AttemptPermit.Refused -> return endWith(permit.refusal)
                }
            when (val outcome = callReserving(permit.server)) {
                is ServiceCallOutcome.TooLarge -> return RunOutcome.Unknown(tooLargeRefusal(outcome)).also { onResponded() }
                is ServiceCallOutcome.Response -> return RunOutcome.Ran(outcome).also { onResponded() }
                is ServiceCallOutcome.Failed ->
                    if (!recordFailureAndTryRetry(
                            permit.server,
                            outcome.failure,
                        )
                    ) {
                        return endWith(refusalFor(outcome.failure))
                    }
            }
        }
    }

    private suspend fun callReserving(server: BackendServer): ServiceCallOutcome =
        try {
            services.plainServices.call(server, serviceCall())
        } finally {
            memory.giveBack(responseBytes)
            responseBytes = 0
        }

    private fun reserveResponse(bytes: Long): Boolean = memory.tryTake(bytes).also { if (it) responseBytes += bytes }

    private fun tooLargeRefusal(outcome: ServiceCallOutcome.TooLarge): Refusal {
        val maxBytes = services.limits.maxResponseBytes
        val detail = "response: at least ${outcome.readBytes} bytes; at most $maxBytes, and the memory that is available, are permitted"
        return Refusal(RefusalReason.BACKEND_FAILED, detail)
    }

    private fun onResponded() {
        services.dispatcher.onServiceEvent(requestId, ServiceEvent.FirstToken)
        services.dispatcher.onServiceEvent(requestId, ServiceEvent.Completed(outputTokens = 0))
    }

    private fun recordFailureAndTryRetry(
        server: BackendServer,
        failure: AttemptFailure,
    ): Boolean {
        services.dispatcher.onFailure(requestId, failure)
        excluded += server.backendServerId
        if (!failure.hadNoEffect) mayHaveRun = true
        if (mayHaveRun && !call.isIdempotent) return false
        val allowed = call.admission.tryRetry()
        (if (allowed) metrics.retries else metrics.retriesDenied).labelValues(KIND).inc()
        return allowed
    }

    private fun endWith(refusal: Refusal): RunOutcome<ServiceCallOutcome.Response> =
        if (mayHaveRun) RunOutcome.Unknown(refusal) else RunOutcome.NotRun(refusal)

    private fun refusalFor(failure: AttemptFailure): Refusal {
        val retryAfterMs = if (mayHaveRun && !call.isIdempotent) null else RETRY_AFTER_MS
        return Refusal(RefusalReason.BACKEND_FAILED, "attempt failed: ${failure.name.lowercase()}", retryAfterMs)
    }

    private fun settle(outcomeKnown: Boolean) {
        val charge = Charge(teamId, target, 0, call.service.callPriceTokens, outcomeKnown)
        services.ledger.settle(requestId, charge, services.clock.monotonicMs())
    }

    private fun serviceCall(): ServiceCall {
        val untilDeadlineMs = call.options.deadlineAtMs?.let { it - services.clock.monotonicMs() }
        val timeoutMs = (untilDeadlineMs ?: services.limits.serviceTimeoutMs).coerceAtLeast(1)
        return ServiceCall(
            requestId,
            call.method,
            call.pathAndQuery,
            call.headers,
            call.body,
            timeoutMs,
            services.limits.maxResponseBytes,
            ::reserveResponse,
        )
    }

    private fun workItem() =
        WorkItem(
            requestId = requestId,
            teamId = teamId,
            workClassId = call.options.workClassId,
            target = target,
            promptTokens = 0,
            maxOutputTokens = 0,
            prefixHashes = emptyList(),
            arrivedAtMs = call.arrivedAtMs,
            deadlineAtMs = call.options.deadlineAtMs,
            queueShare = call.admission.team.limits.queueShare,
            excludedServers = excluded.toSet(),
        )

    private companion object {
        private const val KIND = "service"
        private const val RETRY_AFTER_MS = 1_000L
    }
}
