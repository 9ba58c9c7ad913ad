package org.lycheemount.listener

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.socket.DuplexChannel
import java.util.concurrent.TimeUnit

/**
 * Closes the connection of [context] so that its caller can read the response first: bytes that are not read would reset the connection.
 * Reads and drops up to [remainingBytes] more, as long as some arrive, for at most [remainingMs]. Used only by the thread of the
 * connection.
 */
internal class LingeringClose(
    private val context: ChannelHandlerContext,
    private var remainingBytes: Long,
    private var remainingMs: Long,
) {
    /** Ends the output of the connection. [discard] must be called with all further input. */
    fun start() {
        (context.channel() as? DuplexChannel)?.shutdownOutput()
        closeOnceSilent()
    }

    /** Drops [bytes], and closes the connection if they are too many. */
    fun discard(bytes: ByteBuf) {
        remainingBytes -= bytes.readableBytes()
        bytes.release()
        if (remainingBytes < 0) context.close()
    }

    private fun closeOnceSilent() {
        val bytesBefore = remainingBytes
        val check = {
            remainingMs -= SILENCE_MS
            if (remainingBytes == bytesBefore || remainingMs <= 0) context.close() else closeOnceSilent()
        }
        context.executor().schedule({ check() }, SILENCE_MS, TimeUnit.MILLISECONDS)
    }

    /** Limits of what is read after a refusal. */
    companion object {
        /** Time without input after which the connection is closed. */
        const val SILENCE_MS: Long = 500

        /** A body is sent within this time, or its request times out. */
        const val MAX_BODY_MS: Long = 10_000

        /** Limit behind a head that is refused. */
        const val MAX_BYTES: Long = 262_144
    }
}
