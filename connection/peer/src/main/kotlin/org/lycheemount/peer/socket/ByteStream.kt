package org.lycheemount.peer.socket

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeFully

/** Bidirectional byte stream, plain or encrypted. One reader and one writer may use it concurrently. */
internal interface ByteStream {
    /** Reads between 1 and [length] bytes into [buffer]; returns -1 at the end of the stream. */
    suspend fun readSome(
        buffer: ByteArray,
        offset: Int,
        length: Int,
    ): Int

    /** Writes [bytes] without flushing. */
    suspend fun write(bytes: ByteArray)

    /** Flushes all written bytes to the network. */
    suspend fun flush()

    /** Closes the connection; pending reads and writes fail. */
    fun close()
}

internal class PlainByteStream(
    private val socket: Socket,
) : ByteStream {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)

    override suspend fun readSome(
        buffer: ByteArray,
        offset: Int,
        length: Int,
    ): Int {
        while (true) {
            val count = input.readAvailable(buffer, offset, length)
            if (count != 0) return count
        }
    }

    override suspend fun write(bytes: ByteArray) = output.writeFully(bytes)

    override suspend fun flush() = output.flush()

    override fun close() = socket.close()
}
