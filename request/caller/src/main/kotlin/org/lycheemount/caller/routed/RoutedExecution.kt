package org.lycheemount.caller.routed

import com.github.michaelbull.result.getError
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeout
import org.lycheemount.backend.AttemptFailure
import org.lycheemount.backend.PassThroughResponse
import org.lycheemount.backend.ResponseBody
import org.lycheemount.backend.ResponseHead
import org.lycheemount.budget.Charge
import org.lycheemount.caller.ResponseWriter
import org.lycheemount.caller.ShutdownException
import org.lycheemount.caller.TokenReserver
import org.lycheemount.caller.TruncatedResponseException
import org.lycheemount.caller.drainingRefusal
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.SoftwareVersion
import org.lycheemount.config.RouteKind
import org.lycheemount.origins.StreamOrigin
import org.lycheemount.scheduling.ServiceEvent
import org.lycheemount.stream.AttemptPermit
import java.io.ByteArrayOutputStream
import java.io.IOException

/** Executes one routed request from reservation to settlement. */
internal class RoutedExecution(
    private val services: RoutedServices,
    private val reserver: TokenReserver,
    retryLimiter: RetryLimiter,
    private val metrics: RoutedMetrics,
    private val request: RoutedRequest,
    private val writer: ResponseWriter,
) {
    private val attempts = AttemptRunner(services, retryLimiter, metrics, request)
    private val resumption = StreamResumption(services, metrics, request)
    private val relay = StreamRelay(services, request, attempts, writer, ::onResponseHead)
    private var failedResponse: BufferedResponse? = null
    private var isReserved = false

    /** Number of attempts so far. */
    val attemptCount: Int get() = attempts.count

    /** Server of the last attempt; null before the first. */
    val lastServerId: BackendServerId? get() = attempts.lastServerId

    /** Software version of the server of the last attempt; null before the first. */
    val lastVersion: SoftwareVersion? get() = attempts.lastVersion

    /** Where the stream began that the caller resumes; null for other requests. */
    val origin: StreamOrigin? get() = resumption.origin

    /** Time spent waiting for servers, over all attempts. */
    val queueMs: Long get() = attempts.queueMs

    /** Time spent waiting for prepaid tokens. */
    var tokenWaitMs = 0L
        private set

    /** Time from arrival to the first response head; null before it. */
    var firstResponseMs: Long? = null
        private set

    /** What has been relayed of a stream; null if the response is no stream, or has no event yet. */
    val streamReport: StreamReport? get() = relay.report

    /** Runs and settles the request; it is also settled when the coroutine is cancelled because the caller disconnected. */
    suspend fun run(): RoutedOutcome {
        (attempts.quarantineRefusal() ?: resumption.check() ?: reserve())?.let { return RoutedOutcome.NotRun(it) }
        resumption.requiredVersion?.let(attempts::requireVersion)
        try {
            return withTimeout(remainingMs()) { services.drain.cancelAtEnd { runAttempts() } }
        } catch (exception: TruncatedResponseException) {
            return RoutedOutcome.Truncated(exception.message.orEmpty())
        } catch (exception: TimeoutCancellationException) {
            // The abort of a response closes the caller's connection, which cancels this coroutine as well.
            if (writer.isCommitted) return RoutedOutcome.Truncated("timeout")
            // Cancellation by the caller is not a timeout.
            currentCoroutineContext().ensureActive()
            return timedOut()
        } catch (exception: ShutdownException) {
            currentCoroutineContext().ensureActive()
            return if (writer.isCommitted) RoutedOutcome.Truncated("shutdown") else endedByShutdown()
        } finally {
            services.dispatcher.cancel(request.requestId)
            settle()
        }
    }

    private fun timedOut(): RoutedOutcome =
        if (attempts.mayHaveRun || attempts.count > 0) {
            RoutedOutcome.Unknown(Refusal(RefusalReason.BACKEND_TIMEOUT, "no response before the request timed out"))
        } else {
            RoutedOutcome.NotRun(Refusal(RefusalReason.DEADLINE_PAST, "no server accepted the request in time"))
        }

    private fun endedByShutdown(): RoutedOutcome =
        if (attempts.mayHaveRun || attempts.isInProgress) {
            RoutedOutcome.Unknown(Refusal(RefusalReason.BACKEND_TIMEOUT, "no response before this router shut down"))
        } else {
            RoutedOutcome.NotRun(drainingRefusal(RETRY_AFTER_MS))
        }

    private suspend fun reserve(): Refusal? {
        val tokens = request.maxTokens ?: return null
        if (!request.isPrepaid) return null
        val waitMs = minOf(request.route.targetLatencyMs / GRANT_WAIT_LATENCY_DIVISOR, remainingMs() / 2)
        val startedAtMs = services.clock.monotonicMs()
        val reserved = reserver.reserve(request.requestId, request.admission.team.budgetId, tokens, tokens, waitMs)
        tokenWaitMs = services.clock.monotonicMs() - startedAtMs
        metrics.onTokenWait(request.route.kind, tokenWaitMs)
        isReserved = reserved.isOk
        return reserved.getError()
    }

    private suspend fun runAttempts(): RoutedOutcome {
        while (true) {
            val server =
                when (val permit = attempts.awaitServer()) {
                    is AttemptPermit.Granted -> permit.server
                    is AttemptPermit.Refused -> return endWith(permit.refusal)
                }
            when (val outcome = attempts.send(server, resumeAfterEventId = null) { onResponse(server, it) }) {
                is AttemptOutcome.Completed -> return outcome.result
                is AttemptOutcome.Failed -> if (!attempts.tryRetry(outcome.failure)) return endWith(refusalFor(outcome.failure))
                is AttemptOutcome.FailedAndRetried -> Unit
            }
        }
    }

    private fun refusalFor(failure: AttemptFailure): Refusal {
        val reason = if (failure.hadNoEffect) RefusalReason.NO_BACKEND_SERVER else RefusalReason.BACKEND_FAILED
        return Refusal(reason, "attempt failed: ${failure.name.lowercase()}", RETRY_AFTER_MS)
    }

    /** Relays an earlier error response of a server if there is one, as it tells the caller more than the failure of the retry. */
    private suspend fun endWith(refusal: Refusal): RoutedOutcome {
        val response = failedResponse ?: return if (attempts.mayHaveRun) RoutedOutcome.Unknown(refusal) else RoutedOutcome.NotRun(refusal)
        writer.writeComplete(response.head, response.body)
        return RoutedOutcome.Responded(response.head.httpStatus)
    }

    private suspend fun onResponse(
        server: BackendServer,
        response: PassThroughResponse,
    ): AttemptOutcome {
        val isStream = request.route.kind == RouteKind.STREAMING && StreamRelay.isEventStream(response)
        return if (isStream) relay.relay(server, response) else relayBuffered(response)
    }

    /** Buffers the response before relaying it, so that a truncated one can still be retried or reported. */
    private suspend fun relayBuffered(response: PassThroughResponse): AttemptOutcome {
        val body = readBuffered(response.body)
        val isComplete = response.body.isComplete
        onResponseHead()
        // An error may come from a server that never began to run the request, so it does not show that the prompt is harmless.
        if (isComplete && response.head.httpStatus in SUCCESS_STATUSES) attempts.onPromptServed()
        if (isComplete && response.head.httpStatus >= SERVER_ERROR_STATUS && attempts.tryRetry(AttemptFailure.SERVER_ERROR)) {
            failedResponse = BufferedResponse(response.head, body)
            return AttemptOutcome.FailedAndRetried(AttemptFailure.SERVER_ERROR)
        }
        services.dispatcher.onServiceEvent(request.requestId, ServiceEvent.Completed(outputTokens = 0))
        if (isComplete) {
            writer.writeComplete(response.head, body)
        } else {
            writer.writeStream(response.head) { channel ->
                channel.writeFully(body)
                channel.flush()
                relayRemainder(response, channel)
            }
        }
        return AttemptOutcome.Completed(RoutedOutcome.Responded(response.head.httpStatus))
    }

    /** Reads [body] up to the size that is buffered, or as far as there is memory for it. */
    private suspend fun readBuffered(body: ResponseBody): ByteArray {
        val content = ByteArrayOutputStream()
        val bytes = ByteArray(READ_BYTES)
        // The buffer and its copy exist at the same time.
        while (content.size() < MAX_BUFFERED_BODY_BYTES && request.memory.tryTake(2L * READ_BYTES)) {
            val count = body.read(bytes)
            request.memory.giveBack(2L * (READ_BYTES - maxOf(count, 0)))
            if (count < 0) break
            content.write(bytes, 0, count)
        }
        return content.toByteArray()
    }

    private suspend fun relayRemainder(
        response: PassThroughResponse,
        channel: ByteWriteChannel,
    ) {
        val bytes = ByteArray(READ_BYTES)
        while (true) {
            val count =
                try {
                    response.body.read(bytes)
                } catch (failure: IOException) {
                    throw TruncatedResponseException("the response was truncated: ${failure.message}")
                }
            if (count < 0) break
            channel.writeFully(bytes, 0, count)
            channel.flush()
        }
    }

    private fun onResponseHead() {
        if (firstResponseMs == null) firstResponseMs = services.clock.monotonicMs() - request.arrivedAtMs
        services.dispatcher.onServiceEvent(request.requestId, ServiceEvent.FirstToken)
    }

    private fun remainingMs(): Long = request.remainingMs(services.clock.monotonicMs())

    private fun settle() {
        if (!isReserved) return
        val nowMs = services.clock.monotonicMs()
        if (!attempts.mayHaveRun && !attempts.isInProgress) return services.ledger.release(request.requestId, nowMs)
        val prompt = request.metadata.promptTokens?.toLong() ?: 0L
        val charge = Charge(request.admission.team.teamId, request.backendTarget, prompt, relay.outputTokens.toLong())
        services.ledger.settle(request.requestId, charge, nowMs)
    }

    private class BufferedResponse(
        val head: ResponseHead,
        val body: ByteArray,
    )

    private companion object {
        private val SUCCESS_STATUSES = 200..299
        private const val SERVER_ERROR_STATUS = 500
        private const val READ_BYTES = 8_192

        /** Bodies up to this size are buffered until complete; larger ones are streamed to limit memory use. */
        private const val MAX_BUFFERED_BODY_BYTES = 262_144

        // An available table grants within two round trips of 10 ms. A caller that is refused within a tenth of its target latency
        // can still be served in time by another router, which may have tokens.
        private const val GRANT_WAIT_LATENCY_DIVISOR = 10

        // Another router or server may accept the request immediately.
        private const val RETRY_AFTER_MS = 100L
    }
}
