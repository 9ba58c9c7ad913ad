package org.lycheemount.backend

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.InternalAPI
import kotlinx.coroutines.channels.Channel
import kotlinx.io.Buffer
import kotlinx.io.Source
import java.io.IOException

/**
 * Bytes that a connection has received and nobody has read yet, written by one coroutine and read by another. A channel of Ktor holds up to
 * 1 MB before its writer waits.
 *
 * @param maxBytes number of bytes from which on [write] waits. The reader may hold as many again, and more if it waits for them together.
 */
@OptIn(InternalAPI::class)
internal class ReceiveBuffer(
    private val maxBytes: Long,
) : ByteReadChannel {
    private val lock = Any()

    /** Guarded by [lock]. */
    private val received = Buffer()

    /** Used by the reader only. */
    private val reading = Buffer()
    private val onReceived = Channel<Unit>(Channel.CONFLATED)
    private val onTaken = Channel<Unit>(Channel.CONFLATED)

    @Volatile
    private var isEnded = false

    @Volatile
    override var closedCause: Throwable? = null
        private set

    override val isClosedForRead: Boolean
        get() = closedCause != null || (isEnded && reading.exhausted() && synchronized(lock) { received.exhausted() })

    override val readBuffer: Source
        get() {
            closedCause?.let { throw it }
            if (reading.exhausted()) takeReceived()
            return reading
        }

    override suspend fun awaitContent(min: Int): Boolean {
        while (true) {
            closedCause?.let { throw it }
            // Read before the bytes, which are complete then.
            val hasAll = isEnded
            if (reading.size < min) takeReceived()
            if (reading.size >= min) return true
            if (hasAll) return false
            onReceived.receive()
        }
    }

    /** Adds the first [count] of [bytes], and waits while [maxBytes] or more are not taken by the reader. */
    suspend fun write(
        bytes: ByteArray,
        count: Int,
    ) {
        var size = synchronized(lock) { received.also { it.write(bytes, 0, count) }.size }
        onReceived.trySend(Unit)
        while (size >= maxBytes && closedCause == null) {
            onTaken.receive()
            size = synchronized(lock) { received.size }
        }
    }

    /** Nothing more will be received. */
    fun end() {
        isEnded = true
        onReceived.trySend(Unit)
    }

    override fun cancel(cause: Throwable?) {
        if (closedCause == null) closedCause = cause ?: IOException("the connection was closed")
        onReceived.trySend(Unit)
        onTaken.trySend(Unit)
    }

    private fun takeReceived() {
        synchronized(lock) { received.transferTo(reading) }
        onTaken.trySend(Unit)
    }
}
