package org.lycheemount.caller

import io.ktor.http.ContentType
import io.ktor.http.Headers
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.headers
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.coroutines.delay
import org.lycheemount.backend.ResponseHead
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
    ) = send(head, body.size.toLong()) { it.writePaced(body) }

    /**
     * Sends [head] and the output of [write]. The connection is aborted when [write] throws, so that the response is never mistaken for a
     * complete one.
     */
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
        val contentType = head.header(HttpHeaders.ContentType)?.let(ContentType::parse)
        val content =
            PacedContent(call, HttpStatusCode.fromValue(head.httpStatus), contentType, length, otherHeaders(head), memory) { channel ->
                write(channel)
                isComplete = true
            }
        try {
            call.respond(content)
        } catch (failure: TruncatedResponseException) {
            throw failure
        } catch (failure: IOException) {
            // The caller's connection failed, not the server, so the request must not be retried.
            throw TruncatedResponseException("the caller's connection was lost: ${failure.message}")
        }
    }

    /** Returns the headers of [head] except for the content type, which Ktor sets. */
    private fun otherHeaders(head: ResponseHead): Headers =
        headers {
            for ((name, value) in head.headers) if (!name.equals(HttpHeaders.ContentType, ignoreCase = true)) append(name, value)
        }

    private companion object {
        // Passing events on to the socket takes a few hops between coroutines. The caller of a truncated stream loses little by this wait.
        private const val ABORT_DELAY_MS = 100L
    }
}
