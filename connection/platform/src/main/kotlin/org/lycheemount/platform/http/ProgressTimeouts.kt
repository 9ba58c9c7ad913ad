package org.lycheemount.platform.http

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream

/** Outcome of [readWhileProgressing]. */
sealed interface BodyRead {
    /** The whole body was read. */
    class Complete(
        val bytes: ByteArray,
    ) : BodyRead

    /** Too little of the body arrived in time; [receivedBytes] did. */
    class Stalled(
        val receivedBytes: Int,
    ) : BodyRead

    /** The body is longer than the limit. */
    data object TooLong : BodyRead
}

/** Outcome of the exchange whose response had [httpStatus], [headers] and this body. */
fun BodyRead.toExchange(
    httpStatus: Int,
    headers: List<Pair<String, String>> = emptyList(),
): PlatformExchange =
    when (this) {
        is BodyRead.Complete -> PlatformExchange.Response(httpStatus, bytes, headers)
        is BodyRead.Stalled -> PlatformExchange.Lost("response stalled after $receivedBytes bytes")
        BodyRead.TooLong -> PlatformExchange.TooLong
    }

/**
 * Runs [block] and returns its result, or null if it neither ends nor calls the function passed to it within [timeoutMs] milliseconds.
 * Once it has called that function, it may take any time.
 */
suspend fun <T : Any> withTimeoutUntilStarted(
    timeoutMs: Long,
    block: suspend (onStarted: () -> Unit) -> T,
): T? =
    coroutineScope {
        val started = CompletableDeferred<Unit>()
        val result =
            async {
                try {
                    block { started.complete(Unit) }
                } finally {
                    started.complete(Unit)
                }
            }
        if (withTimeoutOrNull(timeoutMs) { started.await() } == null) {
            result.cancelAndJoin()
            null
        } else {
            result.await()
        }
    }

/**
 * Reads a body with [read] until its end, as long as at least [MIN_PROGRESS_BYTES] or the rest of it arrive within each [timeoutMs]
 * milliseconds. A large body may thus take long on a slow link, and a peer that sends a byte now and then is given up.
 *
 * @param maxBytes limit on the length of the body.
 * @param lengthBytes length of the body if it is known. A body over the limit is then not read at all.
 * @param read reads at least one byte into the array and returns the count, or a negative number at the end.
 */
suspend fun readWhileProgressing(
    timeoutMs: Long,
    maxBytes: Int,
    lengthBytes: Long? = null,
    read: suspend (ByteArray) -> Int,
): BodyRead {
    if (lengthBytes != null && lengthBytes > maxBytes) return BodyRead.TooLong
    val content = ByteArrayOutputStream()
    val buffer = ByteArray(READ_BUFFER_BYTES)
    while (true) {
        val targetSize = content.size() + MIN_PROGRESS_BYTES
        var isAtEnd = false
        withTimeoutOrNull(timeoutMs) {
            while (!isAtEnd && content.size() < targetSize) {
                val count = read(buffer)
                if (count < 0) isAtEnd = true else content.write(buffer, 0, count)
            }
        } ?: return BodyRead.Stalled(content.size())
        if (content.size() > maxBytes) return BodyRead.TooLong
        if (isAtEnd) return BodyRead.Complete(content.toByteArray())
    }
}

private const val MIN_PROGRESS_BYTES = 4_096
private const val READ_BUFFER_BYTES = 8_192
