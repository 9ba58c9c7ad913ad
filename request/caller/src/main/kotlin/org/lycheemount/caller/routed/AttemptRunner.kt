package org.lycheemount.caller.routed

import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.backend.AttemptFailure
import org.lycheemount.backend.PassThroughCall
import org.lycheemount.backend.PassThroughOutcome
import org.lycheemount.backend.PassThroughResponse
import org.lycheemount.backend.ResponseHead
import org.lycheemount.backend.ResponseOwner
import org.lycheemount.caller.TruncatedResponseException
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.Refusal
import org.lycheemount.common.SoftwareVersion
import org.lycheemount.common.WorkClassId
import org.lycheemount.quarantine.CRASH_WINDOW_MS
import org.lycheemount.scheduling.WorkItem
import org.lycheemount.stream.AttemptPermit
import java.io.IOException

/** Outcome of one attempt. */
internal sealed interface AttemptOutcome {
    /** The request ended with this attempt. */
    class Completed(
        val result: RoutedOutcome,
    ) : AttemptOutcome

    /** The attempt failed; no retry has been requested from the retry budget yet. */
    class Failed(
        val failure: AttemptFailure,
    ) : AttemptOutcome

    /** The attempt failed, and the retry budget has already granted a retry. */
    class FailedAndRetried(
        val failure: AttemptFailure,
    ) : AttemptOutcome
}

/** Runs the attempts of one request and tracks whether a server may have run it. Used by one coroutine at a time. */
internal class AttemptRunner(
    private val services: RoutedServices,
    private val retryLimiter: RetryLimiter,
    private val metrics: RoutedMetrics,
    private val request: RoutedRequest,
) {
    private val excludedServers = HashSet<BackendServerId>()
    private var requiredVersion: SoftwareVersion? = null

    /** Whether a server may have run the request. */
    var mayHaveRun = false
        private set

    /** True from the start of an attempt until its outcome; remains true if the request is cancelled in between. */
    var isInProgress = false
        private set

    /** Total time spent waiting for servers. */
    var queueMs = 0L
        private set

    /** Number of attempts so far. */
    var count = 0
        private set

    /** Server of the last attempt; null before the first. */
    var lastServerId: BackendServerId? = null
        private set

    /** Software version of the server of the last attempt; null before the first. */
    var lastVersion: SoftwareVersion? = null
        private set

    /** Time at which the server of the current attempt began to respond; null before. */
    private var respondingSinceMs: Long? = null

    /** Whether the server of the current attempt has responded for long enough to show that it does not crash on the prompt. */
    private var isPromptServed = false

    /** Restricts all further attempts to servers of [version]. */
    fun requireVersion(version: SoftwareVersion) {
        requiredVersion = version
    }

    /** Waits for a server on which no attempt of this request has failed. */
    suspend fun awaitServer(): AttemptPermit {
        quarantineRefusal()?.let { return AttemptPermit.Refused(it) }
        val permit = acquireServer()
        // Other routers may have learned meanwhile that servers crash on this prompt.
        val refusal = request.prompt?.let { services.quarantine.refusalToSend(it) }
        // Asking them may take the time of a call to the table, in which the zone of the server may have been evacuated.
        if (refusal == null && isUsable(permit)) return permit
        services.dispatcher.cancel(request.requestId)
        return if (refusal == null) acquireServer() else AttemptPermit.Refused(refusal)
    }

    /** Returns why this request must not be sent to any server, or null. */
    fun quarantineRefusal(): Refusal? = request.prompt?.let(services.quarantine::refusalFor)

    /** A part of a successful response has arrived. */
    fun onResponsePart() {
        if (isPromptServed || request.prompt == null) return
        val nowMs = services.clock.monotonicMs()
        val sinceMs = respondingSinceMs ?: nowMs.also { respondingSinceMs = it }
        if (nowMs - sinceMs >= CRASH_WINDOW_MS) onPromptServed()
    }

    /** The server has responded successfully, or for long enough to show that it does not crash on the prompt. */
    fun onPromptServed() {
        if (isPromptServed) return
        isPromptServed = true
        request.prompt?.let(services.quarantine::onPromptServed)
    }

    private suspend fun acquireServer(): AttemptPermit {
        val startedAtMs = services.clock.monotonicMs()
        try {
            while (true) {
                val permit = services.dispatcher.acquire(workItem())
                val isReplaced = permit is AttemptPermit.Granted && services.dispatcher.isReplaced(permit.server)
                if (!isReplaced && isUsable(permit)) return permit
                services.dispatcher.cancel(request.requestId)
            }
        } finally {
            val waitedMs = services.clock.monotonicMs() - startedAtMs
            queueMs += waitedMs
            metrics.onQueueWait(request.route.kind, waitedMs)
        }
    }

    private fun isUsable(permit: AttemptPermit) = permit !is AttemptPermit.Granted || !services.dispatcher.isEvacuated(permit.server)

    /**
     * Sends the request to [server] once and passes the response to [onResponse].
     *
     * @param resumeAfterEventId id of the event after which the stream resumes, or null.
     */
    suspend fun send(
        server: BackendServer,
        resumeAfterEventId: Long?,
        onResponse: suspend (PassThroughResponse) -> AttemptOutcome,
    ): AttemptOutcome {
        lastServerId = server.backendServerId
        lastVersion = server.softwareVersion
        count++
        respondingSinceMs = null
        isPromptServed = false
        isInProgress = true
        val sentAtMs = services.clock.monotonicMs()
        var metadata: ResponseMetadata? = null
        val call =
            callFor(server, resumeAfterEventId) { head ->
                val parsed = services.dialect.readResponse(head, request.metadata.requestId, server.backendServerId)
                metadata = parsed
                // Also counts if the response is not passed on. One to another request may be older than this run of the server.
                if (parsed.owner != ResponseOwner.OTHER_REQUEST) {
                    if (parsed.isLeaving) services.serverStatements.onLeavingResponse(server)
                    parsed.pauseText?.let { services.serverStatements.onPauseResponse(server, it) }
                }
                parsed.owner
            }
        val outcome =
            try {
                services.client.exchange(server, call) { response ->
                    val received = checkNotNull(metadata)
                    services.serverStatements.onResponse(server, received.requestLimitText, sentAtMs)
                    if (!received.isLeaving && response.head.httpStatus in SUCCESS_STATUSES) {
                        services.serverStatements.onOtherResponse(server, sentAtMs)
                    }
                    handleResponse(server, response, received, onResponse)
                }
            } catch (failure: TruncatedResponseException) {
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
        isInProgress = false
        when (result) {
            is AttemptOutcome.Completed -> metrics.onAttempt(request.route.kind, "answered")
            is AttemptOutcome.Failed -> recordFailure(server, result.failure)
            is AttemptOutcome.FailedAndRetried -> recordFailure(server, result.failure)
        }
        return result
    }

    /** Whether the request may be retried after [failure]; if so, consumes one retry of the retry budget. */
    fun tryRetry(failure: AttemptFailure): Boolean {
        if ((mayHaveRun || !failure.hadNoEffect) && !request.route.isRepeatable) return false
        // Attempts that certainly did not run the request do not count against the limit of the route.
        if (count >= request.route.maxAttempts && !failure.hadNoEffect) return false
        if (count >= request.route.maxAttempts + MAX_EXTRA_ATTEMPTS) return false
        return retryLimiter.tryRetry(request.service.serviceId)
    }

    private suspend fun handleResponse(
        server: BackendServer,
        response: PassThroughResponse,
        metadata: ResponseMetadata,
        onResponse: suspend (PassThroughResponse) -> AttemptOutcome,
    ): AttemptOutcome {
        metadata.load?.let { services.dispatcher.onLoadReport(it) }
        metadata.load?.workTime?.let {
            metrics.onWorkTime(it)
            services.serverStatements.onWorkTime(server, it)
        }
        metadata.unusableWorkTimeText?.let { services.serverStatements.onUnusableWorkTime(server, it) }
        metadata.notRun?.let {
            discardBody(response)
            return AttemptOutcome.Failed(it)
        }
        mayHaveRun = true
        // Only the server's own statement shows that the request did not run, so the caller must not get this status.
        if (metadata.hasNotRunStatus) {
            discardBody(response)
            return AttemptOutcome.Failed(AttemptFailure.SERVER_ERROR)
        }
        return onResponse(response)
    }

    /** Reads a body that is not needed, so that the connection can be reused. It is closed if the body is not complete in time. */
    private suspend fun discardBody(response: PassThroughResponse) {
        try {
            withTimeoutOrNull(DISCARD_TIMEOUT_MS) { response.body.readUpTo(MAX_REFUSAL_BODY_BYTES) }
        } catch (failure: IOException) {
            currentCoroutineContext().ensureActive()
            services.eventLog.info(
                "response_body_truncated",
                "request_id" to request.metadata.loggedId,
                "server" to lastServerId?.value,
                "error" to failure.message,
            )
        }
    }

    /** Records the failure of the attempt at [server]. */
    fun recordFailure(
        server: BackendServer,
        failure: AttemptFailure,
    ) {
        services.dispatcher.onFailure(request.requestId, failure)
        metrics.onAttempt(request.route.kind, failure.name.lowercase())
        excludedServers += server.backendServerId
        if (!failure.hadNoEffect) mayHaveRun = true
        if (failure == AttemptFailure.BROKEN_CONNECTION && !isPromptServed) {
            request.prompt?.let { services.quarantine.onAttemptBroken(server, it) }
        }
        services.eventLog.warn(
            "attempt_failed",
            "request_id" to request.metadata.loggedId,
            "route" to request.route.routeId.value,
            "server" to server.backendServerId.value,
            "attempt" to count,
            "failure" to failure.name.lowercase(),
            "may_have_run" to mayHaveRun,
        )
    }

    private fun callFor(
        server: BackendServer,
        resumeAfterEventId: Long?,
        ownerOf: (ResponseHead) -> ResponseOwner,
    ): PassThroughCall {
        val attempt =
            AttemptMetadata(server.backendServerId, request.teamId, request.remainingMs(services.clock.monotonicMs()), resumeAfterEventId)
        return PassThroughCall(
            method = request.method,
            target = request.target,
            headers = services.dialect.attemptHeaders(request.callerHeaders, attempt),
            body = request.body,
            requestId = request.metadata.requestId,
            ownerOf = ownerOf,
        )
    }

    private fun workItem() =
        WorkItem(
            requestId = request.requestId,
            teamId = request.admission.team.teamId,
            workClassId = WorkClassId(request.route.routeId.value),
            target = request.backendTarget,
            promptTokens = request.metadata.promptTokens ?: 0,
            maxOutputTokens = request.metadata.maxOutputTokens ?: 0,
            prefixHashes = request.prefixHashes,
            arrivedAtMs = request.arrivedAtMs,
            deadlineAtMs = request.expiresAtMs,
            queueShare = request.admission.team.limits.queueShare,
            excludedServers = excludedServers.toSet(),
            affinityHash = request.affinityHash,
            sharedTokens = request.sharedTokens,
            allowedVersions = allowedVersions(),
        )

    private fun allowedVersions(): Set<SoftwareVersion>? {
        requiredVersion?.let { return setOf(it) }
        if (!request.route.hasResumableStreams || request.isResumption) return null
        return services.streamOrigins.usableVersions(request.service.serviceId)
    }

    private companion object {
        private val SUCCESS_STATUSES = 200..299
        private const val MAX_REFUSAL_BODY_BYTES = 65_536

        // A refusal is sent as a whole.
        private const val DISCARD_TIMEOUT_MS = 100L

        // Full or unreachable servers fail fast; several of them in a row mean that no server will accept the request.
        private const val MAX_EXTRA_ATTEMPTS = 2
    }
}
