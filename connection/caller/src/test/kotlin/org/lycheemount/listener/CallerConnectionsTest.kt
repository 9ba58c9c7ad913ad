package org.lycheemount.listener

import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Each connection has a thread of its own, which runs its tasks when the test says so. */
class CallerConnectionsTest {
    private var replacedCount = 0

    /** Rises with each reading. */
    private var nowNs = 0L
    private val connections = CallerConnections(MAX_CONNECTIONS, memory = null, nowNs = { ++nowNs }) { replacedCount++ }
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

    private fun EmbeddedChannel.endRequest() {
        pipeline().fireChannelRead(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    private fun EmbeddedChannel.receiveWholeRequest() {
        receiveRequest()
        endRequest()
    }

    private fun EmbeddedChannel.sendResponse() {
        writeOutbound(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK))
    }

    /** The caller closes the connection, before other tasks of the connection run. */
    private fun EmbeddedChannel.closeByCaller() {
        unsafe().close(voidPromise())
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
        fun `another connection is closed if the chosen one gets a request meanwhile, guarding against a bound that is exceeded`() {
            val (first, second, third) = List(MAX_CONNECTIONS + 1) { open() }

            first.receiveRequest()
            runTasks()

            assertEquals(listOf(true, false, true), listOf(first, second, third).map { it.isOpen })
            assertEquals(MAX_CONNECTIONS, connections.size)
            assertEquals(1, replacedCount)
        }

        @Test
        fun `a new connection is closed if all others have a request in progress`() {
            val held = List(MAX_CONNECTIONS) { open().apply { receiveRequest() } }

            val newest = open()
            runTasks()

            assertFalse(newest.isOpen)
            assertTrue(held.all { it.isOpen })
        }

        @Test
        fun `a connection whose caller does not end its body is closed, guarding against callers that keep all others out`() {
            val held = List(MAX_CONNECTIONS) { open().apply { receiveRequest() } }
            nowNs += CallerConnectionHandler.MIN_STALL_NS

            val newest = open()
            runTasks()

            assertEquals(listOf(false, true, true), (held + newest).map { it.isOpen })
        }

        @Test
        fun `a connection whose caller does not read its response is closed, guarding against callers that keep all others out`() {
            val held = List(MAX_CONNECTIONS) { open().apply { receiveWholeRequest() } }
            held.last().write(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK))
            nowNs += CallerConnectionHandler.MIN_STALL_NS

            val newest = open()
            runTasks()

            assertEquals(listOf(true, false, true), (held + newest).map { it.isOpen })
        }

        @Test
        fun `a connection whose request waits for this process is not closed`() {
            val held = List(MAX_CONNECTIONS) { open().apply { receiveWholeRequest() } }
            nowNs += CallerConnectionHandler.MIN_STALL_NS

            val newest = open()
            runTasks()

            assertEquals(listOf(true, true, false), (held + newest).map { it.isOpen })
        }

        @Test
        fun `a connection whose caller goes on before it is closed stays open`() {
            val held = List(MAX_CONNECTIONS) { open().apply { receiveRequest() } }
            nowNs += CallerConnectionHandler.MIN_STALL_NS
            val newest = open()

            held.first().endRequest()
            runTasks()

            assertEquals(listOf(true, false, true), (held + newest).map { it.isOpen })
        }

        @Test
        fun `a new connection makes the bound hold again, guarding against an excess that lasts`() {
            val busy = List(MAX_CONNECTIONS + 1) { open() }
            busy.forEach { it.receiveRequest() }
            runTasks()
            assertTrue(busy.all { it.isOpen })
            busy.forEach { it.sendResponse() }

            val newest = open()
            runTasks()

            assertEquals(listOf(false, false, true, true), (busy + newest).map { it.isOpen })
            assertEquals(MAX_CONNECTIONS, connections.size)
        }
    }

    @Nested
    inner class `a listener` {
        private fun isAccepting() = listener.config().isAutoRead

        private fun acceptUntilStopped() = generateSequence { if (isAccepting()) accept() else null }.take(MANY_CONNECTIONS).toList()

        @Test
        fun `stops accepting while accepted connections are not registered, guarding against threads that are late (A9)`() {
            assertTrue(acceptUntilStopped().size < MANY_CONNECTIONS)
        }

        @Test
        fun `stops accepting while connections are not closed that were chosen to be, guarding against threads that are late (A9)`() {
            val opened = generateSequence { if (isAccepting()) open() else null }.take(MANY_CONNECTIONS).toList()

            assertTrue(opened.size < MANY_CONNECTIONS)
            assertEquals(MAX_CONNECTIONS, connections.size)
        }

        @Test
        fun `accepts connections again when some have closed`() {
            val opened = acceptUntilStopped().onEach { it.startHandler() }

            runTasks()

            assertTrue(isAccepting())
            assertEquals(MAX_CONNECTIONS, opened.count { it.isOpen })
        }

        @Test
        fun `accepts connections again when requests end that exceeded the bound, guarding against a listener that stays stopped`() {
            val busy = acceptUntilStopped().onEach { it.startHandler().receiveRequest() }
            runTasks()
            assertTrue(!isAccepting() && busy.all { it.isOpen })

            busy.forEach { it.sendResponse() }
            runTasks()

            assertTrue(isAccepting())
            assertEquals(MAX_CONNECTIONS, connections.size)
        }

        @Test
        fun `accepts connections again when those that were never registered have closed`() {
            val accepted = acceptUntilStopped()

            accepted.forEach { it.closeByCaller() }

            assertTrue(isAccepting())
        }
    }

    @Nested
    inner class `a connection that was chosen to be closed` {
        @Test
        fun `does not count after its end, guarding against a count that rises for good`() {
            val (first, second, third) = List(MAX_CONNECTIONS + 1) { open() }
            first.receiveRequest()

            first.closeByCaller()
            runTasks()
            assertEquals(MAX_CONNECTIONS, connections.size)
            listOf(second, third).forEach { it.close() }

            assertEquals(0, connections.size)
        }

        @Test
        fun `is waited for in a shutdown, guarding against a response that is cut`() =
            runBlocking {
                val (first, second, third) = List(MAX_CONNECTIONS + 1) { open() }
                first.receiveRequest()
                connections.closeListeners()
                val allClosed = async { connections.awaitAllClosed() }
                listOf(second, third).forEach { it.closeByCaller() }
                yield()

                assertFalse(allClosed.isCompleted)
                runTasks()
                first.close()
                allClosed.await()
            }
    }

    private companion object {
        private const val MAX_CONNECTIONS = 2
        private const val MANY_CONNECTIONS = 100
        private const val IDLE_TIMEOUT_S = 60L
    }
}
