package org.lycheemount.backend

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.readByte
import java.io.ByteArrayOutputStream
import java.io.EOFException
import java.io.IOException

/** What tells where the body of a response ends. */
enum class BodyFraming {
    /** The response has no body. */
    NONE,

    /** A length in the head. */
    LENGTH,

    /** The last chunk. */
    CHUNKS,

    /** The end of the connection. */
    CONNECTION,
}

/**
 * Body of a response, read by one coroutine.
 *
 * Used instead of Ktor's decoders, which end a body without an error if the connection closes early, so that a truncated
 * response would look complete.
 */
sealed class ResponseBody {
    /** Whether the body has been read to its end. */
    var isComplete: Boolean = false
        protected set

    /** What tells where the body ends. */
    val framing: BodyFraming
        get() =
            when (this) {
                is EmptyBody -> BodyFraming.NONE
                is FixedLengthBody -> BodyFraming.LENGTH
                is ChunkedBody -> BodyFraming.CHUNKS
                is UntilCloseBody -> BodyFraming.CONNECTION
            }

    /** Length of the whole body; null if only its end tells. */
    open val lengthBytes: Long? get() = null

    /** Reads at least one byte into [bytes] and returns the count, or -1 at the end. Throws [IOException] if the body is truncated. */
    suspend fun read(bytes: ByteArray): Int {
        if (isComplete) return -1
        val count = readMore(bytes)
        if (count < 0) isComplete = true
        return count
    }

    /** Reads until the end or until at least [maxBytes] bytes have been read. */
    suspend fun readUpTo(maxBytes: Int): ByteArray {
        val content = ByteArrayOutputStream()
        val bytes = ByteArray(READ_BUFFER_BYTES)
        while (content.size() < maxBytes) {
            val count = read(bytes)
            if (count < 0) break
            content.write(bytes, 0, count)
        }
        return content.toByteArray()
    }

    internal abstract suspend fun readMore(bytes: ByteArray): Int

    private companion object {
        private const val READ_BUFFER_BYTES = 8_192
    }
}

/** An empty body. */
internal class EmptyBody : ResponseBody() {
    override suspend fun readMore(bytes: ByteArray): Int = -1
}

/** A body with a `Content-Length`. */
internal class FixedLengthBody(
    private val input: ByteReadChannel,
    override val lengthBytes: Long,
) : ResponseBody() {
    private var remainingBytes = lengthBytes

    override suspend fun readMore(bytes: ByteArray): Int {
        if (remainingBytes == 0L) return -1
        val count = readSome(input, bytes, remainingBytes)
        remainingBytes -= count
        return count
    }
}

/** A body in chunked transfer encoding. */
internal class ChunkedBody(
    private val input: ByteReadChannel,
) : ResponseBody() {
    private var remainingChunkBytes = 0L

    override suspend fun readMore(bytes: ByteArray): Int {
        if (remainingChunkBytes == 0L) {
            remainingChunkBytes = readChunkSize()
            if (remainingChunkBytes == 0L) {
                skipTrailers()
                return -1
            }
        }
        val count = readSome(input, bytes, remainingChunkBytes)
        remainingChunkBytes -= count
        if (remainingChunkBytes == 0L && readLine().isNotEmpty()) throw IOException("missing line end after a chunk")
        return count
    }

    private suspend fun readChunkSize(): Long {
        val size = readLine().substringBefore(';').trim(' ', '\t')
        val bytes = if (size.all { it in HEXADECIMAL_DIGITS }) size.toLongOrNull(HEXADECIMAL) else null
        return bytes ?: throw IOException("missing or invalid chunk size")
    }

    private suspend fun skipTrailers() {
        repeat(MAX_TRAILERS) { if (readLine().isEmpty()) return }
        throw IOException("more than $MAX_TRAILERS trailers")
    }

    /** Returns the next line without its CR LF or LF. The start of a line whose end never comes is not one. */
    private suspend fun readLine(): String {
        val line = StringBuilder()
        while (true) {
            val character = Char(input.readByte().toInt() and BYTE_MASK)
            if (character == '\n') return line.removeSuffix("\r").toString()
            if (line.length == MAX_LINE_CHARS) throw IOException("a line in a body exceeds $MAX_LINE_CHARS characters")
            line.append(character)
        }
    }

    private companion object {
        private const val HEXADECIMAL = 16
        private const val HEXADECIMAL_DIGITS = "0123456789abcdefABCDEF"
        private const val BYTE_MASK = 0xff
        private const val MAX_LINE_CHARS = 1_024
        private const val MAX_TRAILERS = 64
    }
}

/** Creates a body of [lengthBytes] bytes that are read from [input]. */
fun fixedLengthBody(
    input: ByteReadChannel,
    lengthBytes: Long,
): ResponseBody = FixedLengthBody(input, lengthBytes)

/**
 * A body that ends when the connection closes.
 *
 * @param failureAtEnd returns what broke the connection, or null if the server ended it in order. The body is then complete.
 */
internal class UntilCloseBody(
    private val input: ByteReadChannel,
    private val failureAtEnd: suspend () -> IOException?,
) : ResponseBody() {
    override suspend fun readMore(bytes: ByteArray): Int {
        val count = input.readAvailable(bytes)
        if (count < 0) failureAtEnd()?.let { throw IOException("the connection broke in a body", it) }
        return count
    }
}

private suspend fun readSome(
    input: ByteReadChannel,
    bytes: ByteArray,
    maxBytes: Long,
): Int {
    val count = input.readAvailable(bytes, 0, minOf(bytes.size.toLong(), maxBytes).toInt())
    if (count < 0) throw EOFException("the connection closed in a body")
    return count
}
