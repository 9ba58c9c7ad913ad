package org.lycheemount.backend

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.readUTF8Line
import java.io.ByteArrayOutputStream
import java.io.EOFException
import java.io.IOException

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
        val size = readLine().substringBefore(';').trim().toLongOrNull(HEXADECIMAL)
        if (size == null || size < 0) throw IOException("missing or invalid chunk size")
        return size
    }

    private suspend fun skipTrailers() {
        repeat(MAX_TRAILERS) { if (readLine().isEmpty()) return }
        throw IOException("more than $MAX_TRAILERS trailers")
    }

    private suspend fun readLine(): String = input.readUTF8Line(MAX_LINE_CHARS) ?: throw EOFException("the connection closed in a body")

    private companion object {
        private const val HEXADECIMAL = 16
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
