package org.lycheemount.listener

import kotlinx.coroutines.channels.Channel
import java.nio.channels.ClosedChannelException

/**
 * A response whose body is written in parts.
 *
 * Its end must be stated by [complete], since the end of the body's channel does not tell: the HTTP engine ends it in the same way when the
 * work on the request is cancelled, and then drops what it has not sent.
 */
class CallerResponse internal constructor() {
    // May overflow. The engine holds back far fewer bytes than would make two counts equal.
    @Volatile
    private var completeBytes: Int? = null

    @Volatile
    private var sentBytes = 0
    private val progress = Channel<Unit>(Channel.CONFLATED)

    /** Whether all bytes of the complete body have been sent. */
    internal val isSent: Boolean get() = completeBytes == sentBytes

    /** States that the body consists of the [bodyBytes] bytes that have been written so far. */
    fun complete(bodyBytes: Long) {
        completeBytes = bodyBytes.toInt()
    }

    /** Number of bytes of the body that the connection has not taken yet, if [writtenBytes] bytes have been written. */
    fun unsentBytes(writtenBytes: Long): Int = writtenBytes.toInt() - sentBytes

    /** Waits until the connection has taken more bytes of the body. Throws [ClosedChannelException] once the connection has closed. */
    suspend fun awaitProgress() = progress.receive()

    /** The connection has closed. */
    internal fun onClosed() {
        progress.close(ClosedChannelException())
    }

    /** Another [bytes] bytes are sent. Called by the thread of the connection. */
    internal fun onSent(bytes: Int) {
        sentBytes += bytes
        progress.trySend(Unit)
    }
}
