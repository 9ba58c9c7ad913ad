package org.lycheemount.listener

import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Each connection has a thread of its own, which runs its tasks when the test says so. */
class CallerConnectionsTest {
    private val connections = CallerConnections(MAX_CONNECTIONS) {}
    private val listener = EmbeddedChannel(connections.listenerHandler())
    private val accepted = ArrayList<EmbeddedChannel>()

    @AfterEach
    fun closeAll() {
        (accepted + listener).forEach { it.finishAndReleaseAll() }
    }

    private fun accept() =
        EmbeddedChannel().also {
            accepted += it
            listener.writeInbound(it)
        }

    private fun EmbeddedChannel.startHandler() =
        apply { pipeline().addLast(connections.connectionHandler(IDLE_TIMEOUT_S) { ConnectionLimits() }) }

    private fun open() = accept().startHandler()

    /** The head of a request is read, before other tasks of the connection run. */
    private fun EmbeddedChannel.receiveRequest() {
        pipeline().fireChannelRead(DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"))
    }

    private fun runTasks() = accepted.forEach { it.runPendingTasks() }

    @Nested
    inner class `at the bound` {
        @Test
        fun `the connection that was accepted first is closed, whichever thread registers its connection first`() {
            for (order in listOf(listOf(0, 1, 2), listOf(2, 1, 0), listOf(1, 2, 0), listOf(2, 0, 1))) {
                val channels = List(MAX_CONNECTIONS + 1) { accept() }

                order.forEach { channels[it].startHandler() }
                runTasks()

                assertEquals(listOf(false, true, true), channels.map { it.isOpen }, "order of registration $order")
                channels.forEach { it.close() }
            }
        }

        @Test
        fun `a new connection is closed if all others have a request in progress`() {
            val held = List(MAX_CONNECTIONS) { open().apply { receiveRequest() } }

            val newest = open()
            runTasks()

            assertFalse(newest.isOpen)
            assertTrue(held.all { it.isOpen })
        }
    }

    private companion object {
        private const val MAX_CONNECTIONS = 2
        private const val IDLE_TIMEOUT_S = 60L
    }
}
