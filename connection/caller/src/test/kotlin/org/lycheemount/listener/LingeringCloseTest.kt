package org.lycheemount.listener

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.embedded.EmbeddedChannel
import org.junit.jupiter.api.Nested
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class LingeringCloseTest {
    private val channel = EmbeddedChannel().apply { freezeTime() }

    /** Closes [channel] in this way, with the given limits. */
    private fun close(
        maxBytes: Long,
        maxMs: Long,
    ) {
        val handler =
            object : ChannelInboundHandlerAdapter() {
                lateinit var close: LingeringClose

                override fun handlerAdded(context: ChannelHandlerContext) {
                    close = LingeringClose(context, maxBytes, maxMs).apply { start() }
                }

                override fun channelRead(
                    context: ChannelHandlerContext,
                    message: Any,
                ) = close.discard(message as ByteBuf)
            }
        channel.pipeline().addLast(handler)
    }

    private fun receive(bytes: Int) {
        channel.writeInbound(Unpooled.wrappedBuffer(ByteArray(bytes)))
    }

    private fun advance(durationMs: Long) {
        channel.advanceTimeBy(durationMs, TimeUnit.MILLISECONDS)
        channel.runScheduledPendingTasks()
    }

    @Nested
    inner class `a caller that goes on sending` {
        @Test
        fun `is read for as long as parts arrive, guarding against refusals lost on slow links`() {
            close(maxBytes = 1_000_000, maxMs = 10_000)

            repeat(20) {
                receive(1_000)
                advance(400)
            }

            assertTrue(channel.isOpen)
        }

        @Test
        fun `is cut off after the longest time, guarding against callers that are read for ever`() {
            close(maxBytes = 1_000_000, maxMs = 10_000)

            repeat(19) {
                receive(1)
                advance(LingeringClose.SILENCE_MS)
            }
            assertTrue(channel.isOpen)
            receive(1)
            advance(LingeringClose.SILENCE_MS)

            assertFalse(channel.isOpen)
        }

        @Test
        fun `is cut off behind the limit of bytes`() {
            close(maxBytes = 1_000, maxMs = 10_000)

            receive(1_000)
            assertTrue(channel.isOpen)
            receive(1)

            assertFalse(channel.isOpen)
        }
    }

    @Nested
    inner class `a caller that sends nothing more` {
        @Test
        fun `has its connection closed after a short silence`() {
            close(maxBytes = 1_000_000, maxMs = 10_000)

            advance(LingeringClose.SILENCE_MS - 1)
            assertTrue(channel.isOpen)
            advance(1)

            assertFalse(channel.isOpen)
        }
    }
}
