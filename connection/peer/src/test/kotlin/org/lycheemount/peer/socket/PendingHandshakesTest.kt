package org.lycheemount.peer.socket

import org.junit.jupiter.api.Nested
import org.lycheemount.common.RouterId
import org.lycheemount.peer.PeerReply
import java.io.DataInputStream
import java.net.Socket
import java.net.SocketTimeoutException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class PendingHandshakesTest {
    @Nested
    inner class `at the bound` {
        private val pending = PendingHandshakes(maxCount = 2)

        @Test
        fun `the connection without progress for the longest time is closed, guarding against routers that are interrupted`() {
            val (first, second, third) = List(3) { FakeConnection() }
            pending.add(first)
            pending.add(second)
            pending.onProgress(first)

            pending.add(third)

            assertEquals(listOf(false, true, false), listOf(first, second, third).map { it.isClosed })
        }

        @Test
        fun `connections that have been removed do not count`() {
            val (first, second, third) = List(3) { FakeConnection() }
            pending.add(first)
            pending.add(second)
            pending.remove(second)
            pending.onProgress(second)

            pending.add(third)

            assertEquals(listOf(false, false, false), listOf(first, second, third).map { it.isClosed })
        }

        private inner class FakeConnection : AutoCloseable {
            var isClosed = false
                private set

            override fun close() {
                isClosed = true
            }
        }
    }

    /** Over real sockets. */
    @Nested
    inner class `connections without a proof` {
        private val settings = PeerLinkSettings(handshakeTimeoutMs = 60_000, maxPendingHandshakes = MAX_PENDING)

        @Test
        fun `that send nothing do not keep other routers out`() = assertOtherRoutersAreServed {}

        @Test
        fun `that send the first message only do not keep other routers out`() =
            assertOtherRoutersAreServed { socket ->
                val body = encodeFrame(WireFrame.Hello(protocolVersion = 1, identity("stalled"), RouterId("one"), ByteArray(32)))
                socket.getOutputStream().write(lengthPrefix(body.size) + body)
                val input = DataInputStream(socket.getInputStream())
                input.readFully(ByteArray(input.readInt()))
            }

        @Test
        fun `are closed beyond the limit, guarding against descriptors that are lost when a connection is closed while it is set up`() =
            runPeerTest(PeerLinkSettings(handshakeTimeoutMs = 600_000, maxPendingHandshakes = MAX_PENDING)) {
                val (_, endpoint) = start(identity("one"))

                val sockets = List(CROWD) { connect(endpoint) }

                try {
                    assertEquals(
                        emptyList(),
                        sockets
                            .dropLast(MAX_PENDING)
                            .withIndex()
                            .filterNot { it.value.isAtEnd() }
                            .map { it.index },
                    )
                } finally {
                    sockets.forEach { it.close() }
                }
            }

        private fun connect(endpoint: PeerEndpoint) = Socket(endpoint.host, endpoint.port).apply { soTimeout = READ_TIMEOUT_MS }

        private fun Socket.isAtEnd(): Boolean =
            try {
                getInputStream().read() < 0
            } catch (open: SocketTimeoutException) {
                false
            }

        private fun assertOtherRoutersAreServed(send: (Socket) -> Unit) =
            runPeerTest(settings) {
                val (_, endpointOne) = start(identity("one"))
                val (two, _) = start(identity("two"))
                two.setPeers(listOf(endpointOne), emptySet())
                val stalled = List(MAX_PENDING) { connect(endpointOne).also(send) }
                try {
                    assertIs<PeerReply.Received>(two.callEcho(endpointOne))
                    assertEquals(-1, stalled.first().getInputStream().read())
                } finally {
                    stalled.forEach { it.close() }
                }
            }
    }

    private companion object {
        private const val MAX_PENDING = 4
        private const val CROWD = 1_000
        private const val READ_TIMEOUT_MS = 10_000
    }
}
