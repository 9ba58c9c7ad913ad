package org.lycheemount.caller.routed

import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import org.lycheemount.backend.AttemptFailure
import org.lycheemount.backend.PassThroughAnswer
import org.lycheemount.common.BackendServer
import org.lycheemount.scheduling.ServiceEvent
import org.lycheemount.stream.AttemptPermit
import java.io.IOException

/** Ends an answer that broke off; the caller's connection is closed without the answer's end. */
internal class TruncatedResponseException(
    reason: String,
) : IOException(reason)

/** Passes a stream of events on to the caller, over as many servers as it takes. Used by one coroutine at a time. */
internal class StreamRelay(
    private val services: RoutedServices,
    private val request: RoutedRequest,
    private val attempts: AttemptRunner,
    private val writer: ResponseWriter,
    private val onResponseHead: () -> Unit,
) {
    private val events = ServerSentEventBuffer()

    /** Tokens of the events that have come; an event holds at most a known number of tokens. */
    val outputTokens: Int
        get() {
            val tokensPerEvent = request.service.engine?.tokensPerEvent ?: 1
            val pending = if (events.pendingBytes > 0) 1 else 0
            return minOf(request.metadata.maxOutputTokens, (events.eventCount + pending) * tokensPerEvent)
        }

    /** The head is sent with the first whole event: a stream that ends before it can still be sent to another server. */
    suspend fun relay(
        server: BackendServer,
        response: PassThroughAnswer,
    ): AttemptOutcome {
        val first = readEvents(response) ?: return AttemptOutcome.Failed(AttemptFailure.BROKEN_CONNECTION)
        onResponseHead()
        var result: RoutedOutcome = RoutedOutcome.Truncated("the caller's connection broke")
        writer.writeStream(response.head) { channel ->
            channel.write(first)
            result = if (relayEvents(response, channel)) completed(response) else failOver(server, response, channel)
            (result as? RoutedOutcome.Truncated)?.let { throw TruncatedResponseException(it.reason) }
        }
        return AttemptOutcome.Completed(result)
    }

    /** Goes on at other servers after the stream has broken off. */
    private suspend fun failOver(
        lastServer: BackendServer,
        truncated: PassThroughAnswer,
        channel: ByteWriteChannel,
    ): RoutedOutcome {
        // The connection's end makes the server drop the run before another one begins.
        truncated.abandon()
        attempts.recordFailure(lastServer, AttemptFailure.BROKEN_CONNECTION)
        var failure = AttemptFailure.BROKEN_CONNECTION
        while (attempts.tryRetry(failure)) {
            val server =
                when (val permit = attempts.awaitServer()) {
                    is AttemptPermit.Granted -> permit.server
                    is AttemptPermit.Refused -> return RoutedOutcome.Truncated("no server to resume at: ${permit.refusal.reason.wireName}")
                }
            events.startAttempt()
            when (val outcome = attempts.send(server, events.lastEventId) { resume(it, channel) }) {
                is AttemptOutcome.Completed -> return outcome.result
                is AttemptOutcome.Failed -> failure = outcome.failure
                is AttemptOutcome.FailedAndRetried -> failure = outcome.failure
            }
        }
        return RoutedOutcome.Truncated("the stream broke off at event ${events.lastEventId}")
    }

    private suspend fun resume(
        response: PassThroughAnswer,
        channel: ByteWriteChannel,
    ): AttemptOutcome {
        if (!isEventStream(response)) return AttemptOutcome.Failed(AttemptFailure.SERVER_ERROR)
        val lastEventId = events.lastEventId
        val first = readEvents(response) ?: return AttemptOutcome.Failed(AttemptFailure.BROKEN_CONNECTION)
        // A piece that is missing or comes twice would spoil the answer, so a run that begins elsewhere is of no use.
        if (lastEventId != null && events.firstEventId != lastEventId + 1) throw TruncatedResponseException("resumed at another event")
        services.dispatcher.onServiceEvent(request.requestId, ServiceEvent.FirstToken)
        channel.write(first)
        if (!relayEvents(response, channel)) return AttemptOutcome.Failed(AttemptFailure.BROKEN_CONNECTION)
        return AttemptOutcome.Completed(completed(response))
    }

    private fun completed(response: PassThroughAnswer): RoutedOutcome {
        services.dispatcher.onServiceEvent(request.requestId, ServiceEvent.Completed(outputTokens))
        return RoutedOutcome.Responded(response.head.httpStatus)
    }

    /** Passes on whole events to the end of [answer]; false when it broke off. */
    private suspend fun relayEvents(
        response: PassThroughAnswer,
        channel: ByteWriteChannel,
    ): Boolean {
        while (true) channel.write(readEvents(response) ?: break)
        return response.body.isComplete && events.pendingBytes == 0
    }

    /** Waits for whole events; null at the end of the answer. */
    private suspend fun readEvents(response: PassThroughAnswer): ByteArray? {
        val bytes = ByteArray(READ_BYTES)
        while (true) {
            val count =
                try {
                    response.body.read(bytes)
                } catch (failure: IOException) {
                    currentCoroutineContext().ensureActive()
                    return null
                }
            if (count < 0) return null
            val completeEvents = events.append(bytes, count)
            if (completeEvents.isNotEmpty()) return completeEvents
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
        fun isEventStream(response: PassThroughAnswer): Boolean =
            response.head.httpStatus == OK_STATUS && response.head.header("content-type")?.startsWith("text/event-stream") == true
    }
}
