package org.lycheemount.caller.routed

import com.github.michaelbull.result.getError
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeout
import org.lycheemount.backend.AnswerHead
import org.lycheemount.backend.AttemptFailure
import org.lycheemount.backend.PassThroughAnswer
import org.lycheemount.budget.Charge
import org.lycheemount.caller.TokenReserver
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.config.RouteKind
import org.lycheemount.scheduling.ServiceEvent
import org.lycheemount.stream.AttemptPermit
import java.io.IOException

/** Runs one routed request from its reservation to its settlement. */
internal class RoutedExecution(
    private val services: RoutedServices,
    private val reserver: TokenReserver,
    retryLimiter: RetryLimiter,
    private val metrics: RoutedMetrics,
    private val request: RoutedRequest,
    private val writer: ResponseWriter,
) {
    private val attempts = AttemptRunner(services, retryLimiter, metrics, request)
    private val relay = StreamRelay(services, request, attempts, writer, ::onResponseHead)
    private var failedResponse: BufferedResponse? = null
    private var isReserved = false

    /** Attempts so far. */
    val attemptCount: Int get() = attempts.count

    /** Server of the last attempt; null before the first. */
    val lastServerId: BackendServerId? get() = attempts.lastServerId

    /** Time spent waiting for servers, over all attempts. */
    val queueMs: Long get() = attempts.queueMs

    /** Time spent waiting for prepaid tokens. */
    var tokenWaitMs = 0L
        private set

    /** Time from arrival to the head of the answer; null while there is none. */
    var firstResponseMs: Long? = null
        private set

    /** Runs the request; settles it also when the caller leaves, which cancels the coroutine. */
    suspend fun run(): RoutedOutcome {
        reserve()?.let { return RoutedOutcome.NotRun(it) }
        try {
            return withTimeout(remainingMs()) { runAttempts() }
        } catch (exception: TruncatedResponseException) {
            return RoutedOutcome.Truncated(exception.message.orEmpty())
        } catch (exception: TimeoutCancellationException) {
            // A cancelled caller is not a timeout.
            currentCoroutineContext().ensureActive()
            return if (writer.isCommitted) RoutedOutcome.Truncated("timeout") else timedOut()
        } finally {
            services.dispatcher.cancel(request.requestId)
            settle()
        }
    }

    private fun timedOut(): RoutedOutcome =
        if (attempts.mayHaveRun || attempts.count > 0) {
            RoutedOutcome.Unknown(Refusal(RefusalReason.BACKEND_TIMEOUT, "no answer before the request's time was over"))
        } else {
            RoutedOutcome.NotRun(Refusal(RefusalReason.DEADLINE_PAST, "no server took the request in time"))
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
            when (val outcome = attempts.send(server, resumeAfter = null) { onResponse(server, it) }) {
                is AttemptOutcome.Completed -> return outcome.result
                is AttemptOutcome.Failed -> if (!attempts.tryRetry(outcome.failure)) return endWith(refusalFor(outcome.failure))
                is AttemptOutcome.FailedAndRetried -> Unit
            }
        }
    }

    private fun refusalFor(failure: AttemptFailure): Refusal {
        val reason = if (failure.certainlyNotRun) RefusalReason.NO_BACKEND_SERVER else RefusalReason.BACKEND_FAILED
        return Refusal(reason, "attempt failed: ${failure.name.lowercase()}", RETRY_AFTER_MS)
    }

    /** A server's own failure says more to the caller than that the repetition has failed as well. */
    private suspend fun endWith(refusal: Refusal): RoutedOutcome {
        val response = failedResponse ?: return if (attempts.mayHaveRun) RoutedOutcome.Unknown(refusal) else RoutedOutcome.NotRun(refusal)
        writer.writeComplete(response.head, response.body)
        return RoutedOutcome.Responded(response.head.httpStatus)
    }

    private suspend fun onResponse(
        server: BackendServer,
        response: PassThroughAnswer,
    ): AttemptOutcome {
        val isStream = request.route.kind == RouteKind.STREAMING && StreamRelay.isEventStream(response)
        return if (isStream) relay.relay(server, response) else relayBuffered(response)
    }

    /** Passes on an answer only when all of it has come, so that one that breaks off can still be repeated or reported. */
    private suspend fun relayBuffered(response: PassThroughAnswer): AttemptOutcome {
        val body = response.body.readUpTo(MAX_BUFFERED_BODY_BYTES)
        val isComplete = response.body.isComplete
        onResponseHead()
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
                relayRemainder(response, channel)
            }
        }
        return AttemptOutcome.Completed(RoutedOutcome.Responded(response.head.httpStatus))
    }

    private suspend fun relayRemainder(
        response: PassThroughAnswer,
        channel: ByteWriteChannel,
    ) {
        val bytes = ByteArray(READ_BYTES)
        while (true) {
            val count =
                try {
                    response.body.read(bytes)
                } catch (failure: IOException) {
                    throw TruncatedResponseException("the answer broke off: ${failure.message}")
                }
            if (count < 0) break
            channel.writeFully(bytes, 0, count)
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
        val head: AnswerHead,
        val body: ByteArray,
    )

    private companion object {
        private const val SERVER_ERROR_STATUS = 500
        private const val READ_BYTES = 8_192

        /** Bodies up to this size are held until they are complete; larger ones would take too much memory. */
        private const val MAX_BUFFERED_BODY_BYTES = 262_144

        // A table that is up grants within two round trips of 10 ms. A caller that is refused within a tenth of its target can still
        // be served in time by another router, which may hold tokens.
        private const val GRANT_WAIT_LATENCY_DIVISOR = 10

        // Another router or server may well take the request at once.
        private const val RETRY_AFTER_MS = 100L
    }
}
