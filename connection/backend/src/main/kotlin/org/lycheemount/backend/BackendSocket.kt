package org.lycheemount.backend

import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.CancelledKeyException
import java.nio.channels.SocketChannel

/** A connected socket. Reads and writes may run at the same time, each in one coroutine. */
internal interface BackendSocket : AutoCloseable {
    /** Reads at least one byte into [bytes] and returns the count, or -1 at the end. Throws [IOException] if the connection broke. */
    suspend fun read(bytes: ByteBuffer): Int

    /** Writes as many of [bytes] as the socket takes without waiting. Throws [IOException] if the connection broke. */
    fun write(bytes: ByteBuffer)

    /** Waits until the socket takes more bytes. */
    suspend fun awaitWritable()
}

/**
 * A socket of Ktor without its channels: these buffer what is written, so that it cannot be known whether all of it was sent, and drop what
 * they have read when the connection breaks.
 */
internal class SelectedSocket(
    private val socket: Socket,
    private val selector: SelectorManager,
) : BackendSocket {
    private val selectable = socket as Selectable
    private val channel = selectable.channel as SocketChannel

    override suspend fun read(bytes: ByteBuffer): Int {
        while (true) {
            val count = channel.read(bytes)
            if (count != 0) return count
            await(SelectInterest.READ)
        }
    }

    override fun write(bytes: ByteBuffer) {
        channel.write(bytes)
    }

    override suspend fun awaitWritable() = await(SelectInterest.WRITE)

    private suspend fun await(interest: SelectInterest) {
        selectable.interestOp(interest, true)
        try {
            selector.select(selectable, interest)
        } catch (failure: CancelledKeyException) {
            throw IOException("the connection was closed", failure)
        } finally {
            selectable.interestOp(interest, false)
        }
    }

    override fun close() = socket.close()
}
