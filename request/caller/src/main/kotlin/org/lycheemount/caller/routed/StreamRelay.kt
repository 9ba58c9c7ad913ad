package org.lycheemount.caller.routed

import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import org.lycheemount.backend.AttemptFailure
import org.lycheemount.backend.PassThroughResponse
import org.lycheemount.common.BackendServer
import org.lycheemount.scheduling.ServiceEvent
import org.lycheemount.stream.AttemptPermit
import java.io.IOException

/** Ends an answer that broke off; the caller's connection is closed without the answer's end. */
internal class BrokenStreamException(
    reason: String,
) : IOException(reason)

/** Passes a stream of events on to the caller, over as many servers as it takes. Used by one coroutine at a time. */
internal class StreamRelay(
    private val services: RoutedServices,
    private val request: RoutedRequest,
    private val attempts: Attempts,
    private val writer: AnswerWriter,
    private val onFirstAnswer: () -> Unit,
) {
    private val events = EventBlocks()

    /** Tokens of the events that have come; an event holds at most a known number of tokens. */
    val outputTokens: Int
        get() {
            val tokensPerEvent = request.service.engine?.tokensPerEvent ?: 1
            val pending = if (events.pendingBytes > 0) 1 else 0
            return minOf(request.terms.maxOutputTokens, (events.eventCount + pending) * tokensPerEvent)
        }

    /** The head is sent with the first whole event: a stream that ends before it can still be sent to another server. */
    suspend fun pass(
        server: BackendServer,
        answer: PassThroughResponse,
    ): AttemptOutcome {
        val first = readEvents(answer) ?: return AttemptOutcome.Failed(AttemptFailure.BROKEN_CONNECTION)
        onFirstAnswer()
        var end: RoutedEnd = RoutedEnd.BrokenOff("the caller's connection broke")
        writer.streamed(answer.head) { channel ->
            channel.write(first)
            end = if (passEvents(answer, channel)) ended(answer) else goOn(server, answer, channel)
            (end as? RoutedEnd.BrokenOff)?.let { throw BrokenStreamException(it.reason) }
        }
        return AttemptOutcome.Ended(end)
    }

    /** Goes on at other servers after the stream has broken off. */
    private suspend fun goOn(
        lastServer: BackendServer,
        broken: PassThroughResponse,
        channel: ByteWriteChannel,
    ): RoutedEnd {
        // The connection's end makes the server drop the run before another one begins.
        broken.abort()
        attempts.onFailed(lastServer, AttemptFailure.BROKEN_CONNECTION)
        var failure = AttemptFailure.BROKEN_CONNECTION
        while (attempts.mayTryAgain(failure)) {
            val server =
                when (val permit = attempts.acquire()) {
                    is AttemptPermit.Granted -> permit.server
                    is AttemptPermit.Refused -> return RoutedEnd.BrokenOff("no server to resume at: ${permit.refusal.reason.wireName}")
                }
            events.startRun()
            when (val outcome = attempts.send(server, events.lastEventId) { resume(it, channel) }) {
                is AttemptOutcome.Ended -> return outcome.end
                is AttemptOutcome.Failed -> failure = outcome.failure
                is AttemptOutcome.Repeated -> failure = outcome.failure
            }
        }
        return RoutedEnd.BrokenOff("the stream broke off at event ${events.lastEventId}")
    }

    private suspend fun resume(
        answer: PassThroughResponse,
        channel: ByteWriteChannel,
    ): AttemptOutcome {
        if (!isEventStream(answer)) return AttemptOutcome.Failed(AttemptFailure.SERVER_ERROR)
        val resumedAfter = events.lastEventId
        val first = readEvents(answer) ?: return AttemptOutcome.Failed(AttemptFailure.BROKEN_CONNECTION)
        // A piece that is missing or comes twice would spoil the answer, so a run that begins elsewhere is of no use.
        if (resumedAfter != null && events.firstEventId != resumedAfter + 1) throw BrokenStreamException("resumed at another event")
        services.dispatcher.onServiceEvent(request.requestId, ServiceEvent.FirstToken)
        channel.write(first)
        if (!passEvents(answer, channel)) return AttemptOutcome.Failed(AttemptFailure.BROKEN_CONNECTION)
        return AttemptOutcome.Ended(ended(answer))
    }

    private fun ended(answer: PassThroughResponse): RoutedEnd {
        services.dispatcher.onServiceEvent(request.requestId, ServiceEvent.Completed(outputTokens))
        return RoutedEnd.Answered(answer.head.httpStatus)
    }

    /** Passes on whole events to the end of [answer]; false when it broke off. */
    private suspend fun passEvents(
        answer: PassThroughResponse,
        channel: ByteWriteChannel,
    ): Boolean {
        while (true) channel.write(readEvents(answer) ?: break)
        return answer.body.isComplete && events.pendingBytes == 0
    }

    /** Waits for whole events; null at the end of the answer. */
    private suspend fun readEvents(answer: PassThroughResponse): ByteArray? {
        val bytes = ByteArray(READ_BYTES)
        while (true) {
            val count =
                try {
                    answer.body.read(bytes)
                } catch (failure: IOException) {
                    currentCoroutineContext().ensureActive()
                    return null
                }
            if (count < 0) return null
            val whole = events.add(bytes, count)
            if (whole.isNotEmpty()) return whole
        }
    }

    private suspend fun ByteWriteChannel.write(events: ByteArray) {
        writeFully(events)
        flush()
    }

    companion object {
        private const val READ_BYTES = 8_192
        private const val OK_STATUS = 200

        /** Whether [answer] is a stream of events. */
        fun isEventStream(answer: PassThroughResponse): Boolean =
            answer.head.httpStatus == OK_STATUS && answer.head.header("content-type")?.startsWith("text/event-stream") == true
    }
}
