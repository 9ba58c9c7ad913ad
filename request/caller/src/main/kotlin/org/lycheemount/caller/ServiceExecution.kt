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
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.RequestId
import org.lycheemount.common.RunOutcome
import org.lycheemount.common.TeamId
import org.lycheemount.config.PlainService
import org.lycheemount.scheduling.ServiceEvent
import org.lycheemount.scheduling.WorkItem
import org.lycheemount.stream.AttemptPermit

/** A valid call to a plain service by an admitted team. */
internal class ServiceWork(
    val requestId: RequestId,
    val entry: RequestGate.Entry,
    val service: PlainService,
    val terms: WorkTerms,
    val arrivedAtMs: Long,
    val repeatable: Boolean,
    val method: String,
    val pathAndQuery: String,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
)

/** One call to a plain service from reservation to settlement; outlives its caller once it has started. */
internal class ServiceExecution(
    private val services: CallerServices,
    private val metrics: CallerMetrics,
    private val reserver: Reserver,
    private val work: ServiceWork,
) : OpenRequest {
    private val target = BackendTarget.Service(work.service.serviceId)
    private val excluded = mutableSetOf<BackendServerId>()
    private var mayHaveRun = false

    override val requestId: RequestId get() = work.requestId
    override val teamId: TeamId get() = work.entry.team.teamId

    /** Runs the call, with retries only where they cannot run it twice, and settles it. */
    suspend fun run(): RunOutcome<ServiceCallOutcome.Answered> {
        val price = work.service.callPriceTokens
        reserver.reserve(requestId, work.entry.team.budgetId, price, price).getOrElse { return RunOutcome.NotRun(it) }
        val outcome = runAttempts()
        when (outcome) {
            is RunOutcome.Ran -> settle(outcomeKnown = true)
            is RunOutcome.Unknown -> settle(outcomeKnown = false)
            is RunOutcome.NotRun -> services.ledger.release(requestId, services.clock.monotonicMs())
        }
        return outcome
    }

    /** Ends the wait for a server; false when the call has started, which cannot be undone. */
    fun abandon(): Boolean = services.dispatcher.abandon(requestId, Refusal(RefusalReason.CALLER_GONE, "the request was cancelled"))

    override suspend fun cancel(): CancelReply = CancelReply(if (abandon()) CancelResult.NOT_RUN else CancelResult.UNKNOWN)

    override fun describe(): JsonObject =
        buildJsonObject {
            put("requestId", requestId.value)
            put("teamId", teamId.value)
            put("serviceId", work.service.serviceId.value)
            put("ageMs", services.clock.monotonicMs() - work.arrivedAtMs)
        }

    private suspend fun runAttempts(): RunOutcome<ServiceCallOutcome.Answered> {
        while (true) {
            val permit =
                when (val permit = services.dispatcher.acquire(workItem())) {
                    is AttemptPermit.Granted -> permit
                    is AttemptPermit.Refused -> return refused(permit.refusal)
                }
            when (val outcome = services.plainServices.call(permit.server, serviceCall())) {
                is ServiceCallOutcome.Answered -> return RunOutcome.Ran(outcome).also { onAnswered() }
                is ServiceCallOutcome.Failed -> if (!mayRetry(permit.server, outcome.failure)) return refused(failed(outcome.failure))
            }
        }
    }

    private fun onAnswered() {
        services.dispatcher.onServiceEvent(requestId, ServiceEvent.FirstToken)
        services.dispatcher.onServiceEvent(requestId, ServiceEvent.Completed(outputTokens = 0))
    }

    private fun mayRetry(
        server: BackendServer,
        failure: AttemptFailure,
    ): Boolean {
        services.dispatcher.onFailure(requestId, failure)
        excluded += server.backendServerId
        if (!failure.hadNoEffect) mayHaveRun = true
        if (mayHaveRun && !work.repeatable) return false
        val allowed = work.entry.tryRetry()
        (if (allowed) metrics.retries else metrics.retriesDenied).labelValues(KIND).inc()
        return allowed
    }

    private fun refused(refusal: Refusal): RunOutcome<ServiceCallOutcome.Answered> =
        if (mayHaveRun) RunOutcome.Unknown(refusal) else RunOutcome.NotRun(refusal)

    private fun failed(failure: AttemptFailure): Refusal {
        val retryAfterMs = if (mayHaveRun && !work.repeatable) null else RETRY_AFTER_MS
        return Refusal(RefusalReason.BACKEND_FAILED, "attempt failed: ${failure.name.lowercase()}", retryAfterMs)
    }

    private fun settle(outcomeKnown: Boolean) {
        val charge = Charge(teamId, target, 0, work.service.callPriceTokens, outcomeKnown)
        services.ledger.settle(requestId, charge, services.clock.monotonicMs())
    }

    private fun serviceCall(): ServiceCall {
        val untilDeadlineMs = work.terms.deadlineAtMs?.let { it - services.clock.monotonicMs() }
        val timeoutMs = (untilDeadlineMs ?: services.limits.serviceTimeoutMs).coerceAtLeast(1)
        return ServiceCall(requestId, work.method, work.pathAndQuery, work.headers, work.body, timeoutMs)
    }

    private fun workItem() =
        WorkItem(
            requestId = requestId,
            teamId = teamId,
            workClassId = work.terms.workClassId,
            target = target,
            promptTokens = 0,
            maxOutputTokens = 0,
            prefixHashes = emptyList(),
            arrivedAtMs = work.arrivedAtMs,
            deadlineAtMs = work.terms.deadlineAtMs,
            queueShare = work.entry.team.limits.queueShare,
            excludedServers = excluded.toSet(),
        )

    private companion object {
        private const val KIND = "service"
        private const val RETRY_AFTER_MS = 1_000L
    }
}
