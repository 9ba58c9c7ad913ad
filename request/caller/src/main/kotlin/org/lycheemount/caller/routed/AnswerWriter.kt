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
import io.ktor.utils.io.writeFully
import org.lycheemount.backend.ResponseHead
import java.io.IOException

/** Writes the answer to one request. */
internal class AnswerWriter(
    private val call: ApplicationCall,
) {
    /** True once the head of the answer was sent. */
    @Volatile
    var isCommitted = false
        private set

    /** Sends [head] with the whole [body]. */
    suspend fun whole(
        head: ResponseHead,
        body: ByteArray,
    ) = send(head, body.size.toLong()) { it.writeFully(body) }

    /** Sends [head], then what [write] writes; the connection is cut when [write] throws, so that the answer never looks complete. */
    suspend fun streamed(
        head: ResponseHead,
        write: suspend (ByteWriteChannel) -> Unit,
    ) = send(head, null, write)

    /** Asks the caller to send its next request on another connection. */
    fun closeAfterwards() = call.response.header(HttpHeaders.Connection, "close")

    private suspend fun send(
        head: ResponseHead,
        length: Long?,
        write: suspend (ByteWriteChannel) -> Unit,
    ) {
        isCommitted = true
        try {
            call.respond(PassedThrough(head, length, write))
        } catch (failure: BrokenStreamException) {
            throw failure
        } catch (failure: IOException) {
            // Not a failure of the server, so nothing is to be sent again.
            throw BrokenStreamException("the caller's connection broke: ${failure.message}")
        }
    }

    private class PassedThrough(
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
}
