package org.lycheemount.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.receiveChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.common.Clock
import org.lycheemount.common.MemoryAccount
import org.lycheemount.common.MemoryBudget
import org.lycheemount.common.MemoryGrant
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.listener.callerConnection

/**
 * Reads request bodies with a size limit and a timeout. Each part of a body is reserved before it is read from the connection.
 *
 * @param maxBodyBytes current maximum size of a body.
 */
internal class BodyReader(
    private val timeoutMs: Long,
    private val clock: Clock,
    private val maxBodyBytes: () -> Int,
) {
    /** Reads the body of [call], which [memory] holds until it is released. After an error, the rest of the body has not been read. */
    suspend fun read(
        call: ApplicationCall,
        memory: MemoryAccount,
    ): Result<ByteArray, Refusal> {
        val maxBytes = maxBodyBytes()
        if (memory.isDropped) return Err(MEMORY_REFUSAL)
        val lengthBytes = call.request.contentLength()
        if ((lengthBytes ?: 0) > maxBytes) return tooLarge(maxBytes)
        if (lengthBytes == 0L || (lengthBytes == null && call.request.headers[HttpHeaders.TransferEncoding] == null)) {
            memory.complete()
            return Ok(ByteArray(0))
        }
        val parts = BodyParts(call, memory, maxBytes, lengthBytes)
        val isDropped =
            withTimeoutOrNull(timeoutMs) { parts.readAll() }?.not()
                ?: return Err(Refusal(RefusalReason.REQUEST_TIMEOUT, "the body did not arrive within $timeoutMs ms"))
        return when {
            isDropped -> Err(MEMORY_REFUSAL)
            parts.size > maxBytes -> tooLarge(maxBytes)
            call.callerConnection?.hasBrokenBody == true ->
                Err(Refusal(RefusalReason.INVALID_REQUEST, "body: broken off after ${parts.size} bytes, or malformed"))
            lengthBytes != null && parts.size < lengthBytes ->
                Err(Refusal(RefusalReason.INVALID_REQUEST, "body: ended after ${parts.size} of $lengthBytes bytes"))
            else -> Ok(parts.join())
        }
    }

    private fun tooLarge(maxBytes: Int) = Err(Refusal(RefusalReason.REQUEST_TOO_LARGE, "body: must be at most $maxBytes bytes"))

    /** The body of one request in the parts in which it is read. */
    private inner class BodyParts(
        private val call: ApplicationCall,
        private val memory: MemoryAccount,
        private val maxBytes: Int,
        private val lengthBytes: Long?,
    ) {
        private val parts = ArrayList<ByteArray>()
        private var reservedBytes = 0L

        /** Number of bytes that have been read. */
        var size = 0
            private set

        /** Reads up to the end of the body, or until it is too large. Returns false if the memory is needed for others. */
        suspend fun readAll(): Boolean {
            val channel = call.receiveChannel()
            var partBytes = FIRST_PART_BYTES
            while (size <= maxBytes && size.toLong() != lengthBytes) {
                val nextBytes =
                    minOf(lengthBytes?.let { it - size } ?: partBytes.toLong(), maxBytes + 1L - size, MAX_PART_BYTES.toLong()).toInt()
                if (!reserve(nextBytes)) return false
                val part = ByteArray(nextBytes)
                call.callerConnection?.permitBody(nextBytes.toLong())
                val count = fill(channel, part) ?: return false
                parts += if (count == part.size) part else part.copyOf(count)
                size += count
                if (count < part.size) break
                partBytes = minOf(2 * partBytes, MAX_PART_BYTES)
            }
            return true
        }

        /** Returns the whole body and gives back what is no longer needed. */
        fun join(): ByteArray {
            val body = if (parts.size == 1) parts[0] else ByteArray(size)
            if (parts.size > 1) {
                var offset = 0
                for (part in parts) {
                    part.copyInto(body, offset)
                    offset += part.size
                }
            }
            parts.clear()
            memory.giveBack(reservedBytes - size)
            memory.complete()
            return body
        }

        private suspend fun reserve(bytes: Int): Boolean {
            // While they are joined, the parts and the body exist at the same time.
            val neededBytes = 2L * bytes
            while (true) {
                when (memory.request(neededBytes, clock.monotonicMs())) {
                    MemoryGrant.GRANTED -> return true.also { reservedBytes += neededBytes }
                    MemoryGrant.DROPPED -> return false
                    MemoryGrant.WAITING -> delay(WAIT_POLL_MS)
                }
            }
        }

        /** Reads until [part] is full or the body ends, and returns the number of bytes, or null if the memory is needed for others. */
        private suspend fun fill(
            channel: ByteReadChannel,
            part: ByteArray,
        ): Int? {
            var count = 0
            while (count < part.size) {
                if (memory.isDropped) return null
                val isAvailable = withTimeoutOrNull(DROP_POLL_MS) { channel.awaitContent() } ?: continue
                if (!isAvailable) break
                val read = channel.readAvailable(part, count, part.size - count)
                if (read < 0) break
                count += read
                if (read > 0) memory.onProgress(clock.monotonicMs())
            }
            return count
        }
    }

    private companion object {
        // Most bodies are small.
        private const val FIRST_PART_BYTES = 4_096
        private const val MAX_PART_BYTES = 32_768
        private const val WAIT_POLL_MS = 20L
        private const val DROP_POLL_MS = 200L
        private val MEMORY_REFUSAL = Refusal(RefusalReason.MEMORY_EXHAUSTED, "this router holds too many requests", retryAfterMs = 1_000)
    }
}

/** Returns the memory account of this call, which must be released at its end. It is of [budget] unless the connection has opened one. */
internal fun ApplicationCall.openMemory(
    budget: MemoryBudget,
    clock: Clock,
): MemoryAccount = callerConnection?.retainMemory() ?: budget.open(clock.monotonicMs())
