package org.lycheemount.caller

import io.ktor.http.ContentType
import io.ktor.http.Headers
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent
import io.ktor.server.application.ApplicationCall
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.counted
import io.ktor.utils.io.writeFully
import org.lycheemount.listener.callerConnection

/**
 * Body of the response to [call], written as fast as the caller reads it. To be created just before it is sent, as it announces the
 * response to the connection.
 *
 * @param memory memory to which the response is charged while it waits for its caller; null if it is not charged.
 * @param write writes the whole body, or throws.
 */
internal class PacedContent(
    call: ApplicationCall,
    override val status: HttpStatusCode?,
    override val contentType: ContentType?,
    override val contentLength: Long?,
    override val headers: Headers,
    memory: ResponseMemory?,
    private val write: suspend (PacedChannel) -> Unit,
) : OutgoingContent.WriteChannelContent() {
    private val response = call.callerConnection?.beginResponse()

    // A refusal because of the memory must reach its caller, so its connection is not closed for the memory.
    private val memory = memory?.takeUnless { it.isDropped && contentLength.let { size -> size != null && size <= MAX_REFUSAL_BYTES } }

    init {
        // The engine ends a response without bytes before it calls the function that writes the body.
        contentLength?.let { response?.complete(it) }
    }

    override suspend fun writeTo(channel: ByteWriteChannel) {
        val counted = channel.counted()
        write(PacedChannel(counted, response, memory))
        response?.complete(counted.totalBytesWritten)
        memory?.charge(response?.unsentBytes(counted.totalBytesWritten) ?: 0)
        // Until the connection has sent the end, which releases the memory.
        memory?.setUnread(true)
    }

    private companion object {
        private const val MAX_REFUSAL_BYTES = 4_096L
    }
}

/** Writes all of [body], in parts if it is larger than what may wait for the caller. */
internal suspend fun PacedChannel.writePaced(body: ByteArray) {
    for (start in body.indices step PART_BYTES) {
        writeFully(body, start, minOf(start + PART_BYTES, body.size))
        if (body.size > PacedChannel.MAX_UNSENT_BYTES) flush()
    }
}

private const val PART_BYTES = 16_384
