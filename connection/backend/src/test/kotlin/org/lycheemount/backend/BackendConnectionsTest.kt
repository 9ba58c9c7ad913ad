package org.lycheemount.backend

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.test.Test
import kotlin.test.assertEquals
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

    private companion object {
        private const val READ_TIMEOUT_MS = 60_000
    }
}
