package org.lycheemount.peer.socket

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.junit.jupiter.api.Nested
import org.lycheemount.peer.PeerChannel
import org.lycheemount.peer.PeerReply
import java.net.Socket
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertIs
import kotlin.test.assertTrue

class DefaultPeerMessengerTest {
    @Nested
    inner class `a call` {
        @Test
        fun `is answered with its payload unchanged`() =
            runPeerTest {
                val (one, _) = start(identity("one"))
                val (_, two) = start(identity("two"))
                one.setPeers(listOf(two), emptySet())

                val reply = one.echoOnce(two)

                assertEquals("ping", String(assertIs<PeerReply.Received>(reply).payload))
            }

        @Test
        fun `is unknown, not undelivered, when the handler received it and does not reply`() =
            runPeerTest {
                val (one, _) = start(identity("one"))
                val (other, two) = start(identity("two"))
                val silent = PeerChannel("silent")
                other.register(silent) { _, _ -> null }
                one.setPeers(listOf(two), emptySet())
                one.echoOnce(two)

                assertEquals(PeerReply.Unknown, one.call(two.routerId, silent, byteArrayOf(1), 50))
                assertEquals(PeerReply.NotDelivered, one.call(two.routerId, PeerChannel("nobody"), byteArrayOf(1), 3_000))
            }

        @Test
        fun `over the frame limit is rejected by the sender and leaves the link open`() =
            runPeerTest(PeerLinkSettings(maxFrameBytes = 8_192)) {
                val (one, _) = start(identity("one"))
                val (_, two) = start(identity("two"))
                one.setPeers(listOf(two), emptySet())

                assertEquals(PeerReply.NotDelivered, one.call(two.routerId, echo, ByteArray(10_000), 3_000))
                assertIs<PeerReply.Received>(one.echoOnce(two))
            }
    }

    @Nested
    inner class `the handshake` {
        @Test
        fun `rejects a router with another secret`() =
            runPeerTest {
                val (one, _) = start(identity("one"))
                val (other, two) = start(identity("two"), secret = "a secret of another fleet".toByteArray())
                one.setPeers(listOf(two), emptySet())

                assertEquals(PeerReply.NotDelivered, one.echoOnce(two))
                assertTrue(other.connectedPeers().isEmpty())
            }

        @Test
        fun `rejects a new VM at the reused address of the expected one`() =
            runPeerTest {
                val (one, _) = start(identity("one"))
                val (_, two) = start(identity("two", vm = "vm-new"))
                one.setPeers(listOf(two.copy(vmId = identity("two").vmId)), emptySet())

                assertEquals(PeerReply.NotDelivered, one.echoOnce(two))
            }

        @Test
        fun `rejects an incarnation older than one already seen`() =
            runPeerTest {
                val (one, first) = start(identity("one"))
                val (newer, _) = start(identity("two", incarnation = 9))
                val (older, _) = start(identity("two", incarnation = 8))
                newer.setPeers(listOf(first), emptySet())
                older.setPeers(listOf(first), emptySet())
                newer.echoOnce(first)

                assertEquals(PeerReply.NotDelivered, older.echoOnce(first))
                assertEquals(9, one.connectedPeers().single().incarnation)
            }
    }

    @Nested
    inner class `links between two routers` {
        @Test
        fun `are reduced to one when both sides dial at the same time, without losing a call`() =
            runPeerTest(PeerLinkSettings(initialRetryDelayMs = 20, maxRetryDelayMs = 100, replacedLinkGraceMs = 300)) {
                repeat(20) { round ->
                    val (one, first) = start(identity("one-$round"))
                    val (two, second) = start(identity("two-$round"))
                    one.setPeers(listOf(second), setOf(second.routerId))
                    two.setPeers(listOf(first), setOf(first.routerId))

                    val replies = coroutineScope { listOf(async { one.echoOnce(second) }, async { two.echoOnce(first) }).awaitAll() }

                    assertTrue(replies.all { it is PeerReply.Received }, "round $round: $replies")
                    waitUntil { one.connectedPeers().size == 1 && two.connectedPeers().size == 1 }
                }
            }
    }

    @Nested
    inner class `malformed input` {
        @Test
        fun `closes only the connection that it arrived on`() =
            runPeerTest(PeerLinkSettings(handshakeTimeoutMs = 300)) {
                val (one, first) = start(identity("one"))
                val (two, _) = start(identity("two"))
                two.setPeers(listOf(first), emptySet())
                two.echoOnce(first)
                val random = Random(7)

                repeat(60) { round ->
                    Socket("127.0.0.1", first.port).use { socket ->
                        socket.soTimeout = 5_000
                        runCatching { socket.getOutputStream().write(hostileBytes(random, round)) }
                        val ended = runCatching { socket.getInputStream().readAllBytes() }

                        assertTrue(ended.isSuccess || "reset" in ended.exceptionOrNull()?.message.orEmpty(), "round $round: $ended")
                    }
                }

                assertIs<PeerReply.Received>(two.echoOnce(first))
                assertEquals(listOf("two"), one.connectedPeers().map { it.routerId.value })
            }

        @Test
        fun `causes no exception other than a link failure`() {
            val random = Random(11)
            val valid = encodeFrame(WireFrame.Call(7, "budget", ByteArray(40) { it.toByte() }))

            repeat(20_000) {
                val bytes = valid.copyOf(random.nextInt(1, valid.size + 1))
                repeat(random.nextInt(1, 5)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
                try {
                    decodeFrame(bytes)
                } catch (expected: LinkFailure) {
                    assertTrue(expected.message.orEmpty().startsWith("malformed"))
                }
            }
        }

        private fun hostileBytes(
            random: Random,
            round: Int,
        ): ByteArray =
            when (round % 4) {
                0 -> random.nextBytes(random.nextInt(4, 200))
                1 -> byteArrayOf(0x7f, -1, -1, -1) + random.nextBytes(100)
                2 -> lengthPrefix(100) + random.nextBytes(20)
                else -> random.nextBytes(60).let { lengthPrefix(it.size) + it }
            }
    }

    @Nested
    inner class `a secret` {
        @Test
        fun `is not revealed by toString and has a minimum length`() {
            assertEquals("PeerSecret(hidden)", PeerSecret(fleetSecret).toString())
            assertFailsWith<IllegalArgumentException> { PeerSecret(ByteArray(15)) }
        }
    }
}
