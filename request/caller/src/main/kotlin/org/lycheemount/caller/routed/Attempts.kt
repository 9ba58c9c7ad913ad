package org.lycheemount.caller.routed

import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import org.lycheemount.backend.AttemptFailure
import org.lycheemount.backend.PassThroughCall
import org.lycheemount.backend.PassThroughOutcome
import org.lycheemount.backend.PassThroughResponse
import org.lycheemount.backend.ResponseHead
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.WorkClassId
import org.lycheemount.scheduling.WorkItem
import org.lycheemount.stream.AttemptPermit
import java.io.IOException

/** Outcome of one attempt. */
internal sealed interface AttemptOutcome {
    /** The request has ended with this attempt. */
    class Ended(
        val end: RoutedEnd,
    ) : AttemptOutcome

    /** The attempt failed; whether another one follows is not decided. */
    class Failed(
        val failure: AttemptFailure,
    ) : AttemptOutcome

    /** The attempt failed, and another one that was allowed already follows. */
    class Repeated(
        val failure: AttemptFailure,
    ) : AttemptOutcome
}

/** The attempts of one request: where it was sent and what may have come of it. Used by one coroutine at a time. */
internal class Attempts(
    private val services: RoutedServices,
    private val retries: RetryGate,
    private val metrics: RoutedMetrics,
    private val request: RoutedRequest,
) {
    private val excluded = HashSet<BackendServerId>()

    /** Whether some server may have run the request. */
    var mayHaveRun = false
        private set

    /** True from the start of an attempt to its outcome; stays so when the request is cancelled in between. */
    var isUnderWay = false
        private set

    /** Time spent waiting for servers. */
    var queueMs = 0L
        private set

    /** Attempts so far. */
    var count = 0
        private set

    /** Server of the last attempt; null before the first. */
    var lastServerId: BackendServerId? = null
        private set

    /** Waits for a server that has not failed this request. */
    suspend fun acquire(): AttemptPermit {
        val askedAtMs = services.clock.monotonicMs()
        try {
            return services.dispatcher.acquire(workItem())
        } finally {
            val waitedMs = services.clock.monotonicMs() - askedAtMs
            queueMs += waitedMs
            metrics.onQueueWait(request.route.kind, waitedMs)
        }
    }

    /** Sends the request to [server] once, to go on after the event [resumeAfter] if given, and has [handle] read the answer. */
    suspend fun send(
        server: BackendServer,
        resumeAfter: Long?,
        handle: suspend (PassThroughResponse) -> AttemptOutcome,
    ): AttemptOutcome {
        lastServerId = server.backendServerId
        count++
        isUnderWay = true
        var terms: AnswerTerms? = null
        val call =
            callFor(server, resumeAfter) { head ->
                val read = services.dialect.readAnswer(head, request.terms.requestId, server.backendServerId)
                terms = read
                read.isOwn
            }
        val outcome =
            try {
                services.client.exchange(server, call) { answer -> handleOwn(answer, checkNotNull(terms), handle) }
            } catch (failure: BrokenStreamException) {
                throw failure
            } catch (failure: IOException) {
                currentCoroutineContext().ensureActive()
                PassThroughOutcome.Failed(AttemptFailure.BROKEN_CONNECTION, failure.message.orEmpty())
            }
        val result =
            when (outcome) {
                is PassThroughOutcome.Completed -> outcome.result
                is PassThroughOutcome.Failed -> AttemptOutcome.Failed(outcome.failure)
            }
        isUnderWay = false
        when (result) {
            is AttemptOutcome.Ended -> metrics.onAttempt(request.route.kind, "answered")
            is AttemptOutcome.Failed -> onFailed(server, result.failure)
            is AttemptOutcome.Repeated -> onFailed(server, result.failure)
        }
        return result
    }

    /** Whether the request may be sent once more after [failure]; takes a retry out of the retry budget if so. */
    fun mayTryAgain(failure: AttemptFailure): Boolean {
        if ((mayHaveRun || !failure.hadNoEffect) && !request.route.isRepeatable) return false
        // A server that was not reached, or did not run the request, does not count as an attempt at running it.
        if (count >= request.route.maxAttempts && !failure.hadNoEffect) return false
        if (count >= request.route.maxAttempts + MAX_UNCOUNTED_ATTEMPTS) return false
        return retries.tryRetry(request.service.serviceId)
    }

    private suspend fun handleOwn(
        answer: PassThroughResponse,
        terms: AnswerTerms,
        handle: suspend (PassThroughResponse) -> AttemptOutcome,
    ): AttemptOutcome {
        terms.load?.let { services.dispatcher.onLoadReport(it) }
        terms.notRun?.let {
            answer.body.readUpTo(MAX_REFUSAL_BODY_BYTES)
            return AttemptOutcome.Failed(it)
        }
        mayHaveRun = true
        return handle(answer)
    }

    /** Notes that the attempt at [server] has failed. */
    fun onFailed(
        server: BackendServer,
        failure: AttemptFailure,
    ) {
        services.dispatcher.onFailure(request.requestId, failure)
        metrics.onAttempt(request.route.kind, failure.name.lowercase())
        excluded += server.backendServerId
        if (!failure.hadNoEffect) mayHaveRun = true
        services.eventLog.warn(
            "attempt_failed",
            "request_id" to request.terms.requestId,
            "route" to request.route.routeId.value,
            "server" to server.backendServerId.value,
            "attempt" to count,
            "failure" to failure.name.lowercase(),
            "may_have_run" to mayHaveRun,
        )
    }

    private fun callFor(
        server: BackendServer,
        resumeAfter: Long?,
        isOwnResponse: (ResponseHead) -> Boolean,
    ): PassThroughCall {
        val attempt = AttemptTerms(server.backendServerId, request.teamId, request.remainingMs(services.clock.monotonicMs()), resumeAfter)
        return PassThroughCall(
            method = request.method,
            target = request.target,
            headers = services.dialect.attemptHeaders(request.callerHeaders, attempt),
            body = request.body,
            isOwnResponse = isOwnResponse,
        )
    }

    private fun workItem() =
        WorkItem(
            requestId = request.requestId,
            teamId = request.entry.team.teamId,
            workClassId = WorkClassId(request.route.routeId.value),
            target = request.backendTarget,
            promptTokens = request.terms.promptTokens ?: 0,
            maxOutputTokens = request.terms.maxOutputTokens,
            prefixHashes = request.prefixHashes,
            arrivedAtMs = request.arrivedAtMs,
            deadlineAtMs = request.expiresAtMs,
            queueShare = request.entry.team.limits.queueShare,
            excludedServers = excluded.toSet(),
            affinityHash = request.homeHash,
            sharedTokens = request.sharedTokens,
        )

    private companion object {
        private const val MAX_REFUSAL_BODY_BYTES = 65_536

        // Servers that are full or gone are found out quickly; more of them in a row means that none will take the request.
        private const val MAX_UNCOUNTED_ATTEMPTS = 2
    }
}
