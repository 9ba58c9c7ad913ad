package org.lycheemount.caller.routed

import io.ktor.http.ContentType
import io.ktor.http.Headers
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent
import io.ktor.http.headers
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.counted
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.delay
import org.lycheemount.backend.ResponseHead
import org.lycheemount.listener.callerConnection
import java.io.IOException

/** Writes the response to one request. */
internal class ResponseWriter(
    private val call: ApplicationCall,
) {
    /** Whether sending the response head has begun. */
    @Volatile
    var isCommitted = false
        private set

    /** Whether the body has been written to its end. */
    @Volatile
    var isComplete = false
        private set

    /** Memory of the request, to which the response is charged while it waits for its caller; null if it is not charged. */
    var memory: ResponseMemory? = null

    /** Sends [head] with the complete [body]. */
    suspend fun writeComplete(
        head: ResponseHead,
        body: ByteArray,
    ) = send(head, body.size.toLong()) { channel ->
        for (start in body.indices step PART_BYTES) {
            channel.writeFully(body, start, minOf(start + PART_BYTES, body.size))
            if (body.size > PacedChannel.MAX_UNSENT_BYTES) channel.flush()
        }
    }

    /** Sends [head] and the output of [write]. The connection is aborted when [write] throws, so that the response is never mistaken
     * for a complete one. */
    suspend fun writeStream(
        head: ResponseHead,
        write: suspend (ByteWriteChannel) -> Unit,
    ) = send(head, null) { channel ->
        try {
            write(channel)
        } catch (failure: TruncatedResponseException) {
            // The HTTP server discards what it has not passed on to the socket once this function throws.
            channel.flushWithoutPace()
            delay(ABORT_DELAY_MS)
            throw failure
        }
    }

    /** Tells the caller to send its next request on another connection. */
    fun closeConnection() = call.response.header(HttpHeaders.Connection, "close")

    private suspend fun send(
        head: ResponseHead,
        length: Long?,
        write: suspend (PacedChannel) -> Unit,
    ) {
        isCommitted = true
        val response = call.callerConnection?.beginResponse()
        // The engine ends a response without bytes before it calls the function that writes the body.
        if (length != null) response?.complete(length)
        try {
            call.respond(
                PassThroughContent(head, length) { channel ->
                    val counted = channel.counted()
                    write(PacedChannel(counted, response, memory))
                    response?.complete(counted.totalBytesWritten)
                    memory?.charge(response?.unsentBytes(counted.totalBytesWritten) ?: 0)
                    isComplete = true
                    // Until the connection has sent the end, which releases the memory.
                    memory?.setUnread(true)
                },
            )
        } catch (failure: TruncatedResponseException) {
            throw failure
        } catch (failure: IOException) {
            // The caller's connection failed, not the server, so the request must not be retried.
            throw TruncatedResponseException("the caller's connection was lost: ${failure.message}")
        }
    }

    private class PassThroughContent(
        private val head: ResponseHead,
        override val contentLength: Long?,
        private val write: suspend (ByteWriteChannel) -> Unit,
    ) : OutgoingContent.WriteChannelContent() {
        override val status: HttpStatusCode = HttpStatusCode.fromValue(head.httpStatus)

        override val contentType: ContentType? = head.header(HttpHeaders.ContentType)?.let(ContentType::parse)

        override val headers: Headers =
            headers {
                for ((name, value) in head.headers) if (!name.equals(HttpHeaders.ContentType, ignoreCase = true)) append(name, value)
            }

        override suspend fun writeTo(channel: ByteWriteChannel) = write(channel)
    }

    private companion object {
        // Passing events on to the socket takes a few hops between coroutines. The caller of a truncated stream loses little by this wait.
        private const val ABORT_DELAY_MS = 100L
        private const val PART_BYTES = 16_384
    }
}
