package org.lycheemount.backend

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.ConnectFailedException
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNull
import kotlin.test.assertSame

class BackendConnectionsTest {
    private val connections = BackendConnections(connectTimeoutMs = 60_000, sweepIntervalMs = 0)
    private val goneListener = listen()
    private val liveListener = listen()
    private val gone = serverAt(goneListener)
    private val live = serverAt(liveListener)

    @AfterEach
    fun close() {
        connections.close()
        goneListener.close()
        liveListener.close()
    }

    private fun listen() = ServerSocket(0, 8, InetAddress.getLoopbackAddress())

    private fun serverAt(listener: ServerSocket) =
        BackendServer(BackendServerId("s"), VmId("s"), ZoneId("z"), "127.0.0.1", listener.localPort, emptySet())

    @Nested
    inner class `an idle connection` {
        @Test
        fun `to a server that gets no more requests is closed once it has expired, so that replaced servers use up no descriptors`() {
            val expired = runBlocking { connections.open(gone) }
            val peer = goneListener.accept().apply { soTimeout = READ_TIMEOUT_MS }
            connections.releaseIdle(gone, expired, keepAliveMs = 0)

            val used = runBlocking { connections.open(live) }
            connections.releaseIdle(live, used)

            assertEquals(-1, peer.getInputStream().read())
        }

        @Test
        fun `that has not expired is kept for the next request`() {
            val idle = runBlocking { connections.open(gone) }
            connections.releaseIdle(gone, idle)

            val used = runBlocking { connections.open(live) }
            connections.releaseIdle(live, used)

            assertSame(idle, connections.acquireIdle(gone))
        }
    }

    @Nested
    inner class `at the bound of connections to all servers` {
        private val bounded = BackendConnections(connectTimeoutMs = 5_000, maxConnections = 2)

        @AfterEach
        fun closeBounded() = bounded.close()

        private fun open(server: BackendServer) = runBlocking { bounded.open(server) }

        private fun openIdle(server: BackendServer) = open(server).also { bounded.releaseIdle(server, it) }

        @Test
        fun `a new connection replaces the one that has been idle for the longest time, guarding against a lack of descriptors`() {
            val used = open(live)
            openIdle(gone)
            val peer = goneListener.accept().apply { soTimeout = READ_TIMEOUT_MS }

            val newest = openIdle(live)

            assertEquals(-1, peer.getInputStream().read())
            assertNull(bounded.acquireIdle(gone))
            assertSame(newest, bounded.acquireIdle(live))
            bounded.releaseIdle(live, used)
            assertSame(used, bounded.acquireIdle(live))
        }

        @Test
        fun `requests get connections beyond it, which are not kept`() {
            val used = List(3) { open(live) }

            used.forEach { bounded.releaseIdle(live, it) }

            val kept = List(3) { bounded.acquireIdle(live) }
            assertEquals(listOf(used[2], used[1], null), kept)
        }

        @Test
        fun `connections that have been closed or could not be opened do not count`() {
            val closed = open(live)
            repeat(2) { closed.close() }
            val closedListener = listen().also { it.close() }
            repeat(3) { assertFailsWith<ConnectFailedException> { open(serverAt(closedListener)) } }

            val idle = List(2) { open(live) }.onEach { bounded.releaseIdle(live, it) }

            assertEquals(idle.asReversed(), List(2) { bounded.acquireIdle(live) })
        }
    }

    private companion object {
        private const val READ_TIMEOUT_MS = 60_000
    }
}
