package org.lycheemount.listener

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.DefaultChannelId
import io.netty.channel.ServerChannel
import io.netty.channel.embedded.EmbeddedChannel
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

/** With the handler that Netty adds to each listener, in virtual time. */
class ListenerHandlerTest {
    private val listener = EmbeddedListener()
    private val accepted = ArrayList<EmbeddedChannel>()

    init {
        ServerBootstrap()
            .group(EmbeddedChannel().eventLoop())
            .channelFactory { listener }
            .handler(ListenerHandler(MAX_ACCEPTED, nowNs = { 0 }, onOpened = {}))
            .childHandler(NoHandler)
            .register()
        listener.freezeTime()
        listener.runPendingTasks()
    }

    @AfterEach
    fun closeAll() {
        (accepted + listener).forEach { it.finishAndReleaseAll() }
    }

    /** Accepts connections for as long as the listener reads, as if any number of them waited. */
    private fun acceptAll() {
        while (listener.config().isAutoRead) {
            val connection = EmbeddedChannel(DefaultChannelId.newInstance(), false, false)
            accepted += connection
            listener.writeInbound(connection)
        }
    }

    /** Fails to accept a connection, and returns the exception that has passed the handlers. */
    private fun failToAccept(): IOException {
        listener.pipeline().fireExceptionCaught(IOException("Too many open files"))
        return assertFailsWith<IOException> { listener.checkException() }
    }

    private fun advanceTime() {
        listener.advanceTimeBy(PAUSE_MS, TimeUnit.MILLISECONDS)
        listener.runScheduledPendingTasks()
    }

    private fun openCount() = accepted.count { it.isOpen }

    @Nested
    inner class `after a connection that cannot be accepted` {
        @Test
        fun `the bound still holds, guarding against listeners that accept again whatever the number of connections`() {
            acceptAll()
            accepted.first().close()
            failToAccept()
            accepted.last().close()
            acceptAll()

            advanceTime()
            acceptAll()

            assertEquals(MAX_ACCEPTED, openCount())
        }

        @Test
        fun `connections are accepted again after a pause, guarding against attempts without end while descriptors are lacking`() {
            val failure = failToAccept()
            acceptAll()
            val duringPause = openCount()
            advanceTime()
            acceptAll()

            assertEquals("Too many open files", failure.message)
            assertEquals(listOf(0, MAX_ACCEPTED), listOf(duringPause, openCount()))
        }

        @Test
        fun `the pause lasts although another connection closes, guarding against attempts without end while descriptors are lacking`() {
            acceptAll()
            accepted.first().close()
            failToAccept()

            accepted.last().close()
            acceptAll()

            assertEquals(0, openCount())
        }
    }

    @ChannelHandler.Sharable
    private object NoHandler : ChannelInboundHandlerAdapter()

    private class EmbeddedListener :
        EmbeddedChannel(DefaultChannelId.newInstance(), false, false),
        ServerChannel

    private companion object {
        private const val MAX_ACCEPTED = 2
        private const val PAUSE_MS = 1_000L
    }
}
