package org.lycheemount.caller.routed

import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import org.lycheemount.backend.AttemptFailure
import org.lycheemount.backend.BodyFraming
import org.lycheemount.backend.PassThroughResponse
import org.lycheemount.caller.ResponseWriter
import org.lycheemount.caller.TruncatedResponseException
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.SoftwareVersion
import org.lycheemount.scheduling.ServiceEvent
import org.lycheemount.stream.AttemptPermit
import java.io.IOException

/** Relays an event stream to the caller and resumes it at other servers on failure. Used by one coroutine at a time. */
internal class StreamRelay(
    private val services: RoutedServices,
    private val request: RoutedRequest,
    private val attempts: AttemptRunner,
    private val writer: ResponseWriter,
    private val onResponseHead: () -> Unit,
) {
    private val events =
        ServerSentEventBuffer(request.metadata.lastEventId.takeIf { request.isResumption }, request.route.hasResumableStreams)
    private val resumedAt = ArrayList<BackendServerId>()
    private var framing: BodyFraming? = null

    /** Memory that is reserved for the buffered event. */
    private var reservedBytes = 0L

    /** Version that began this stream, until the record of it. */
    private var unrecordedVersion: SoftwareVersion? = null

    /** Upper bound of the tokens in the received events; an event holds at most a known number of tokens. */
    val outputTokens: Int
        get() {
            val tokensPerEvent = request.service.engine?.tokensPerEvent ?: 1
            val pending = if (events.hasIncompleteEvent) 1 else 0
            return minOf(request.metadata.maxOutputTokens ?: 0, (events.eventCount + pending) * tokensPerEvent)
        }

    /** What has been relayed so far; null before the first event. */
    val report: StreamReport? get() = framing?.let { StreamReport(it, events.eventCount, events.lastEventId, resumedAt) }

    /** Relays [response]. Its head is sent with the first complete event, so that a stream that fails earlier can still be retried. */
    suspend fun relay(
        server: BackendServer,
        response: PassThroughResponse,
    ): AttemptOutcome {
        events.startAttempt(isResumed = false)
        val first = readEvents(response) ?: return AttemptOutcome.Failed(streamFailure())
        if (isOfUncertainVersion(server)) return AttemptOutcome.Failed(AttemptFailure.SERVER_ERROR)
        framing = response.body.framing
        onResponseHead()
        attempts.requireVersion(server.softwareVersion)
        if (request.route.hasResumableStreams && !request.isResumption) unrecordedVersion = server.softwareVersion
        var result: RoutedOutcome = RoutedOutcome.Truncated("the caller's connection was lost")
        writer.writeStream(response.head) { channel ->
            channel.write(first)
            result = if (relayEvents(response, channel)) completed(response) else failOver(server, response, channel)
            (result as? RoutedOutcome.Truncated)?.let { throw TruncatedResponseException(it.reason) }
        }
        return AttemptOutcome.Completed(result)
    }

    /** Resumes the stream at other servers after it was truncated. */
    private suspend fun failOver(
        lastServer: BackendServer,
        truncated: PassThroughResponse,
        channel: ByteWriteChannel,
    ): RoutedOutcome {
        // Closing the connection makes the server cancel the request before it is sent to another server.
        truncated.abort()
        discardIncompleteEvent()
        attempts.recordFailure(lastServer, AttemptFailure.BROKEN_CONNECTION)
        if (events.lastEventId == null) return RoutedOutcome.Truncated("the events of the stream have no ids to resume at")
        var failure = AttemptFailure.BROKEN_CONNECTION
        while (attempts.tryRetry(failure)) {
            val server =
                when (val permit = attempts.awaitServer()) {
                    is AttemptPermit.Granted -> permit.server
                    is AttemptPermit.Refused -> return RoutedOutcome.Truncated("no server for resuming: ${permit.refusal.reason.wireName}")
                }
            events.startAttempt(isResumed = true)
            when (val outcome = attempts.send(server, events.lastEventId) { resume(server, it, channel) }) {
                is AttemptOutcome.Completed -> return outcome.result
                is AttemptOutcome.Failed -> failure = outcome.failure
                is AttemptOutcome.FailedAndRetried -> failure = outcome.failure
            }
        }
        return RoutedOutcome.Truncated("the stream was truncated after event ${events.lastEventId}")
    }

    private suspend fun resume(
        server: BackendServer,
        response: PassThroughResponse,
        channel: ByteWriteChannel,
    ): AttemptOutcome {
        if (!isEventStream(response)) return AttemptOutcome.Failed(AttemptFailure.SERVER_ERROR)
        val first = readEvents(response) ?: return AttemptOutcome.Failed(streamFailure())
        if (isOfUncertainVersion(server)) return AttemptOutcome.Completed(RoutedOutcome.Truncated("the next server has been replaced"))
        services.dispatcher.onServiceEvent(request.requestId, ServiceEvent.FirstToken)
        framing = response.body.framing
        resumedAt += server.backendServerId
        channel.write(first)
        if (!relayEvents(response, channel)) return AttemptOutcome.Failed(streamFailure())
        return AttemptOutcome.Completed(completed(response))
    }

    private fun streamFailure() = if (events.isOutOfOrder) AttemptFailure.SERVER_ERROR else AttemptFailure.BROKEN_CONNECTION

    /** Whether the server was replaced by another run under its id, which may have received the request. */
    private fun isOfUncertainVersion(server: BackendServer): Boolean =
        request.route.hasResumableStreams && services.dispatcher.isReplaced(server)

    private fun completed(response: PassThroughResponse): RoutedOutcome {
        attempts.onPromptServed()
        services.dispatcher.onServiceEvent(request.requestId, ServiceEvent.Completed(outputTokens))
        return RoutedOutcome.Responded(response.head.httpStatus)
    }

    /** Relays complete events until the end of [response]; returns false when it was truncated. */
    private suspend fun relayEvents(
        response: PassThroughResponse,
        channel: ByteWriteChannel,
    ): Boolean {
        while (true) channel.write(readEvents(response) ?: break)
        return response.body.isComplete && !events.hasIncompleteEvent && !events.isOutOfOrder
    }

    /** Waits for complete events; returns null at the end of the response, or if an event is out of order or has no end. */
    private suspend fun readEvents(response: PassThroughResponse): ByteArray? {
        val bytes = ByteArray(READ_BYTES)
        while (!events.isOutOfOrder) {
            val count =
                try {
                    response.body.read(bytes)
                } catch (failure: IOException) {
                    currentCoroutineContext().ensureActive()
                    return null
                }
            if (count < 0) return null
            attempts.onResponsePart()
            val completeEvents = events.append(bytes, count)
            if (completeEvents.isNotEmpty()) return completeEvents
            if (events.pendingBytes > services.maxEventBytes || !reserveBuffer()) {
                discardIncompleteEvent()
                services.onEventDiscarded()
                return null
            }
        }
        return null
    }

    /** Reserves the memory of the buffered event. Returns false if the process has none left for it. */
    private fun reserveBuffer(): Boolean {
        val neededBytes = events.extraBytes - reservedBytes
        if (neededBytes <= 0) return true
        if (!request.memory.tryTake(neededBytes)) return false
        reservedBytes += neededBytes
        return true
    }

    private fun discardIncompleteEvent() {
        events.discardIncompleteEvent()
        request.memory.giveBack(reservedBytes)
        reservedBytes = 0
    }

    private fun recordOrigin() {
        val version = unrecordedVersion ?: return
        if (events.lastEventId == null) return
        unrecordedVersion = null
        request.metadata.attemptId?.let { services.streamOrigins.onStreamBegun(it, request.service.serviceId, version) }
    }

    private suspend fun ByteWriteChannel.write(events: ByteArray) {
        recordOrigin()
        writeFully(events)
        flush()
    }

    companion object {
        private const val READ_BYTES = 8_192
        private const val OK_STATUS = 200

        /** Whether [response] is a successful event stream. */
        fun isEventStream(response: PassThroughResponse): Boolean =
            response.head.httpStatus == OK_STATUS && response.head.header("content-type")?.startsWith("text/event-stream") == true
    }
}
