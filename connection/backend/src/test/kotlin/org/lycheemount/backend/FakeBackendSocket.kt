package org.lycheemount.backend

import kotlinx.coroutines.channels.Channel
import java.io.IOException
import java.nio.ByteBuffer

/** A socket whose reads are scripted and whose writes take [capacityBytes] bytes before they have to wait. */
internal class FakeBackendSocket(
    private var capacityBytes: Int = Int.MAX_VALUE,
) : BackendSocket {
    private val reads = Channel<Read>(Channel.UNLIMITED)
    private val writable = Channel<Unit>(Channel.UNLIMITED)
    private var writeFailure: IOException? = null

    /** Sizes of the writes so far. */
    val writtenBytes = ArrayList<Int>()

    var isClosed = false
        private set

    fun receive(text: String) = enqueue(Read.Bytes(text.encodeToByteArray()))

    fun receiveEnd() = enqueue(Read.End)

    fun receiveReset() = enqueue(Read.Reset)

    /** Lets writes take [bytes] more bytes. */
    fun takeMore(bytes: Int) {
        capacityBytes += bytes
        check(writable.trySend(Unit).isSuccess)
    }

    /** Lets the next write report that the connection was reset. */
    fun resetWrites() {
        writeFailure = IOException("Connection reset")
        check(writable.trySend(Unit).isSuccess)
    }

    override suspend fun read(bytes: ByteBuffer): Int =
        when (val read = reads.receive()) {
            is Read.Bytes -> read.content.size.also { bytes.put(read.content) }
            Read.End -> -1
            Read.Reset -> throw IOException("Connection reset")
        }

    override fun write(bytes: ByteBuffer) {
        writeFailure?.let { throw it }
        val count = minOf(bytes.remaining(), capacityBytes)
        bytes.position(bytes.position() + count)
        capacityBytes -= count
        writtenBytes += count
    }

    override suspend fun awaitWritable() = writable.receive()

    override fun close() {
        isClosed = true
    }

    private fun enqueue(read: Read) = check(reads.trySend(read).isSuccess)

    private sealed interface Read {
        class Bytes(
            val content: ByteArray,
        ) : Read

        data object End : Read

        data object Reset : Read
    }
}
