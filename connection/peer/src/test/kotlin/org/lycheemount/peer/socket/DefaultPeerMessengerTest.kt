package org.lycheemount.peer.socket

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
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

@OptIn(ExperimentalCoroutinesApi::class)
class DefaultPeerMessengerTest {
    @Nested
    inner class `a call` {
        @Test
        fun `returns the reply of the peer unchanged`() =
            runPeerTest {
                val (one, _) = start(identity("one"))
                val (_, endpointTwo) = start(identity("two"))
                one.setPeers(listOf(endpointTwo), emptySet())

                val reply = one.callEcho(endpointTwo)

                assertEquals("ping", String(assertIs<PeerReply.Received>(reply).payload))
            }

        @Test
        fun `has an unknown outcome if the handler sends no reply, and is undelivered if the channel has no handler`() =
            runPeerTest {
                val (one, _) = start(identity("one"))
                val (two, endpointTwo) = start(identity("two"))
                val channelWithoutReply = PeerChannel("without-reply")
                val isHandled = CompletableDeferred<Unit>()
                two.register(channelWithoutReply) { _, _ -> null.also { isHandled.complete(Unit) } }
                one.setPeers(listOf(endpointTwo), emptySet())
                one.callEcho(endpointTwo)

                // The timeout of the call passes in virtual time, once the peer has handled the call.
                val scheduler = TestCoroutineScheduler()
                val reply =
                    scope.async(StandardTestDispatcher(scheduler)) {
                        one.call(endpointTwo.routerId, channelWithoutReply, byteArrayOf(1), TIMEOUT_MS)
                    }
                waitUntil {
                    scheduler.runCurrent()
                    isHandled.isCompleted
                }
                scheduler.advanceTimeBy(TIMEOUT_MS)
                scheduler.runCurrent()

                assertEquals(PeerReply.Unknown, reply.await())
                val channelWithoutHandler = PeerChannel("without-handler")
                assertEquals(PeerReply.NotDelivered, one.call(endpointTwo.routerId, channelWithoutHandler, byteArrayOf(1), TIMEOUT_MS))
            }

        @Test
        fun `over the frame limit is rejected by the sender and leaves the link open`() =
            runPeerTest(PeerLinkSettings(maxFrameBytes = 8_192)) {
                val (one, _) = start(identity("one"))
                val (_, endpointTwo) = start(identity("two"))
                one.setPeers(listOf(endpointTwo), emptySet())

                assertEquals(PeerReply.NotDelivered, one.call(endpointTwo.routerId, echoChannel, ByteArray(10_000), TIMEOUT_MS))
                assertIs<PeerReply.Received>(one.callEcho(endpointTwo))
            }
    }

    @Nested
    inner class `the handshake` {
        @Test
        fun `rejects a router with another secret`() =
            runPeerTest {
                val (one, _) = start(identity("one"))
                val (two, endpointTwo) = start(identity("two"), secret = "a secret of another fleet".toByteArray())
                one.setPeers(listOf(endpointTwo), emptySet())

                assertEquals(PeerReply.NotDelivered, one.callEcho(endpointTwo))
                assertTrue(two.connectedPeers().isEmpty())
            }

        @Test
        fun `rejects a new VM at the reused address of the expected one`() =
            runPeerTest {
                val (one, _) = start(identity("one"))
                val (_, endpointTwo) = start(identity("two", vm = "vm-new"))
                one.setPeers(listOf(endpointTwo.copy(vmId = identity("two").vmId)), emptySet())

                assertEquals(PeerReply.NotDelivered, one.callEcho(endpointTwo))
            }

        @Test
        fun `rejects an incarnation older than one already seen`() =
            runPeerTest {
                val (one, endpointOne) = start(identity("one"))
                val (newer, _) = start(identity("two", incarnation = 9))
                val (older, _) = start(identity("two", incarnation = 8))
                newer.setPeers(listOf(endpointOne), emptySet())
                older.setPeers(listOf(endpointOne), emptySet())
                newer.callEcho(endpointOne)

                assertEquals(PeerReply.NotDelivered, older.callEcho(endpointOne))
                assertEquals(9, one.connectedPeers().single().incarnation)
            }
    }

    @Nested
    inner class `links between two routers` {
        @Test
        fun `are reduced to one when both sides dial at the same time, without losing a call`() =
            runPeerTest(PeerLinkSettings(initialRetryDelayMs = 20, maxRetryDelayMs = 100, replacedLinkGraceMs = TIMEOUT_MS)) {
                repeat(20) { round ->
                    val (one, endpointOne) = start(identity("one-$round"))
                    val (two, endpointTwo) = start(identity("two-$round"))
                    one.setPeers(listOf(endpointTwo), setOf(endpointTwo.routerId))
                    two.setPeers(listOf(endpointOne), setOf(endpointOne.routerId))

                    val replies =
                        coroutineScope { listOf(async { one.callEcho(endpointTwo) }, async { two.callEcho(endpointOne) }).awaitAll() }

                    assertTrue(replies.all { it is PeerReply.Received }, "round $round, a call was lost: $replies")
                    waitUntil { one.connectedPeers().size == 1 && two.connectedPeers().size == 1 }
                }
            }
    }

    @Nested
    inner class `malformed input` {
        @Test
        fun `closes only the connection that it arrived on`() =
            runPeerTest(PeerLinkSettings(handshakeTimeoutMs = 300)) {
                val (one, endpointOne) = start(identity("one"))
                val (two, _) = start(identity("two"))
                two.setPeers(listOf(endpointOne), emptySet())
                // The handshake may time out on a busy machine.
                while (two.callEcho(endpointOne) !is PeerReply.Received) delay(5)
                val random = Random(7)

                repeat(60) { round ->
                    Socket("127.0.0.1", endpointOne.port).use { socket ->
                        socket.soTimeout = TIMEOUT_MS.toInt()
                        runCatching { socket.getOutputStream().write(malformedBytes(random, round)) }
                        val remainingInput = runCatching { socket.getInputStream().readAllBytes() }

                        assertTrue(
                            remainingInput.isSuccess || "reset" in remainingInput.exceptionOrNull()?.message.orEmpty(),
                            "round $round, connection not closed: $remainingInput",
                        )
                    }
                }

                assertIs<PeerReply.Received>(two.callEcho(endpointOne))
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

        private fun malformedBytes(
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

    private companion object {
        private const val TIMEOUT_MS = 60_000L
    }
}
