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
import org.lycheemount.backend.ResponseHead
import org.lycheemount.budget.Charge
import org.lycheemount.caller.Reserver
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
    private val reserver: Reserver,
    retries: RetryGate,
    private val metrics: RoutedMetrics,
    private val request: RoutedRequest,
    private val writer: AnswerWriter,
) {
    private val attempts = Attempts(services, retries, metrics, request)
    private val relay = StreamRelay(services, request, attempts, writer, ::onFirstAnswer)
    private var failedAnswer: HeldAnswer? = null
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
    var firstAnswerMs: Long? = null
        private set

    /** Runs the request; settles it also when the caller leaves, which cancels the coroutine. */
    suspend fun run(): RoutedEnd {
        reserve()?.let { return RoutedEnd.NotRun(it) }
        try {
            return withTimeout(remainingMs()) { runAttempts() }
        } catch (broken: BrokenStreamException) {
            return RoutedEnd.BrokenOff(broken.message.orEmpty())
        } catch (timeout: TimeoutCancellationException) {
            // A cancelled caller is not a timeout.
            currentCoroutineContext().ensureActive()
            return if (writer.isCommitted) RoutedEnd.BrokenOff("timeout") else expired()
        } finally {
            services.dispatcher.cancel(request.requestId)
            settle()
        }
    }

    private fun expired(): RoutedEnd =
        if (attempts.mayHaveRun || attempts.count > 0) {
            RoutedEnd.Unknown(Refusal(RefusalReason.BACKEND_TIMEOUT, "no answer before the request's time was over"))
        } else {
            RoutedEnd.NotRun(Refusal(RefusalReason.DEADLINE_PAST, "no server took the request in time"))
        }

    private suspend fun reserve(): Refusal? {
        val tokens = request.maxTokens ?: return null
        if (!request.isPrepaid) return null
        val waitMs = minOf(request.route.targetLatencyMs / GRANT_WAIT_PARTS, remainingMs() / 2)
        val askedAtMs = services.clock.monotonicMs()
        val reserved = reserver.reserve(request.requestId, request.entry.team.budgetId, tokens, tokens, waitMs)
        tokenWaitMs = services.clock.monotonicMs() - askedAtMs
        metrics.onTokenWait(request.route.kind, tokenWaitMs)
        isReserved = reserved.isOk
        return reserved.getError()
    }

    private suspend fun runAttempts(): RoutedEnd {
        while (true) {
            val server =
                when (val permit = attempts.acquire()) {
                    is AttemptPermit.Granted -> permit.server
                    is AttemptPermit.Refused -> return ended(permit.refusal)
                }
            when (val outcome = attempts.send(server, resumeAfter = null) { onAnswer(server, it) }) {
                is AttemptOutcome.Ended -> return outcome.end
                is AttemptOutcome.Failed -> if (!attempts.mayTryAgain(outcome.failure)) return ended(refusalFor(outcome.failure))
                is AttemptOutcome.Repeated -> Unit
            }
        }
    }

    private fun refusalFor(failure: AttemptFailure): Refusal {
        val reason = if (failure.hadNoEffect) RefusalReason.NO_BACKEND_SERVER else RefusalReason.BACKEND_FAILED
        return Refusal(reason, "attempt failed: ${failure.name.lowercase()}", RETRY_AFTER_MS)
    }

    /** A server's own failure says more to the caller than that the repetition has failed as well. */
    private suspend fun ended(refusal: Refusal): RoutedEnd {
        val failed = failedAnswer ?: return if (attempts.mayHaveRun) RoutedEnd.Unknown(refusal) else RoutedEnd.NotRun(refusal)
        writer.whole(failed.head, failed.body)
        return RoutedEnd.Answered(failed.head.httpStatus)
    }

    private suspend fun onAnswer(
        server: BackendServer,
        answer: PassThroughResponse,
    ): AttemptOutcome {
        val isStream = request.route.kind == RouteKind.STREAMING && StreamRelay.isEventStream(answer)
        return if (isStream) relay.pass(server, answer) else passWhole(answer)
    }

    /** Passes on an answer only when all of it has come, so that one that breaks off can still be repeated or reported. */
    private suspend fun passWhole(answer: PassThroughResponse): AttemptOutcome {
        val body = answer.body.readUpTo(MAX_HELD_BODY_BYTES)
        val isComplete = answer.body.isComplete
        onFirstAnswer()
        if (isComplete && answer.head.httpStatus >= SERVER_ERROR_STATUS && attempts.mayTryAgain(AttemptFailure.SERVER_ERROR)) {
            failedAnswer = HeldAnswer(answer.head, body)
            return AttemptOutcome.Repeated(AttemptFailure.SERVER_ERROR)
        }
        services.dispatcher.onServiceEvent(request.requestId, ServiceEvent.Completed(outputTokens = 0))
        if (isComplete) {
            writer.whole(answer.head, body)
        } else {
            writer.streamed(answer.head) { channel ->
                channel.writeFully(body)
                passRest(answer, channel)
            }
        }
        return AttemptOutcome.Ended(RoutedEnd.Answered(answer.head.httpStatus))
    }

    private suspend fun passRest(
        answer: PassThroughResponse,
        channel: ByteWriteChannel,
    ) {
        val bytes = ByteArray(READ_BYTES)
        while (true) {
            val count =
                try {
                    answer.body.read(bytes)
                } catch (failure: IOException) {
                    throw BrokenStreamException("the answer broke off: ${failure.message}")
                }
            if (count < 0) break
            channel.writeFully(bytes, 0, count)
        }
    }

    private fun onFirstAnswer() {
        if (firstAnswerMs == null) firstAnswerMs = services.clock.monotonicMs() - request.arrivedAtMs
        services.dispatcher.onServiceEvent(request.requestId, ServiceEvent.FirstToken)
    }

    private fun remainingMs(): Long = request.remainingMs(services.clock.monotonicMs())

    private fun settle() {
        if (!isReserved) return
        val nowMs = services.clock.monotonicMs()
        if (!attempts.mayHaveRun && !attempts.isUnderWay) return services.ledger.release(request.requestId, nowMs)
        val prompt = request.terms.promptTokens?.toLong() ?: 0L
        val charge = Charge(request.entry.team.teamId, request.backendTarget, prompt, relay.outputTokens.toLong())
        services.ledger.settle(request.requestId, charge, nowMs)
    }

    private class HeldAnswer(
        val head: ResponseHead,
        val body: ByteArray,
    )

    private companion object {
        private const val SERVER_ERROR_STATUS = 500
        private const val READ_BYTES = 8_192

        /** Bodies up to this size are held until they are complete; larger ones would take too much memory. */
        private const val MAX_HELD_BODY_BYTES = 262_144

        // A table that is up grants within two round trips of 10 ms. A caller that is refused within a tenth of its target can still
        // be served in time by another router, which may hold tokens.
        private const val GRANT_WAIT_PARTS = 10

        // Another router or server may well take the request at once.
        private const val RETRY_AFTER_MS = 100L
    }
}
