package org.lycheemount.app.router.gateway

import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import org.junit.jupiter.api.Nested
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.peer.PeerChannel
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.testing.FakeEventLog
import org.lycheemount.testing.FakePeerNetwork
import java.io.ByteArrayOutputStream
import java.util.zip.GZIPOutputStream
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertNull

class PeerConfigurationExchangeTest {
    private val eventLog = FakeEventLog()
    private val loggedEvents get() = eventLog.events.map { it.first }

    /** Document of the peer. */
    private var document: ConfigurationDocument? = null

    private fun TestScope.join(
        network: FakePeerNetwork,
        name: String,
    ): PeerMessenger = network.join(RouterIdentity(RouterId(name), VmId(name), RegionId("region"), ZoneId("z"), incarnation = 1))

    /** Passes the exchange of a router to [steps], whose peer [PEER] has [document]. */
    private fun runPair(steps: suspend (PeerConfigurationExchange, PeerMessenger) -> Unit) =
        runTest {
            val network = FakePeerNetwork(backgroundScope)
            PeerConfigurationExchange(join(network, PEER.value), eventLog) { document }.start()
            val messenger = join(network, "r2")
            steps(PeerConfigurationExchange(messenger, eventLog) { null }, messenger)
        }

    /** Returns what a router makes of [reply]. */
    private fun requestWithReply(reply: ByteArray): ByteArray? {
        var value: ByteArray? = null
        runTest {
            val network = FakePeerNetwork(backgroundScope)
            join(network, PEER.value).register(channel) { _, _ -> reply }
            value = PeerConfigurationExchange(join(network, "r2"), eventLog) { null }.request(PEER, version = 3)
        }
        return value
    }

    @Nested
    inner class `a request for a configuration` {
        @Test
        fun `returns that of the peer unchanged if it is newer`() =
            runPair { exchange, _ ->
                val value = ByteArray(500_000) { (it % 100).toByte() }
                document = ConfigurationDocument(8, value)
                assertContentEquals(value, exchange.request(PEER, version = 3))

                document = ConfigurationDocument(9, value + 1)
                assertContentEquals(value + 1, exchange.request(PEER, version = 8))
            }

        @Test
        fun `returns nothing if the peer has none or none that is newer`() =
            runPair { exchange, _ ->
                assertNull(exchange.request(PEER, version = 3))
                document = ConfigurationDocument(8, ByteArray(10))
                assertNull(exchange.request(PEER, version = 8))
                assertNull(exchange.request(RouterId("unknown"), version = 3))
            }

        @Test
        fun `returns nothing if the configuration is too large, which is logged once`() =
            runPair { exchange, _ ->
                document = ConfigurationDocument(8, Random(1).nextBytes(900_000))
                repeat(2) { assertNull(exchange.request(PEER, version = 3)) }
                assertEquals(listOf("configuration_too_large_for_peers"), loggedEvents)

                document = ConfigurationDocument(9, ByteArray(MAX_BYTES + 1))
                assertNull(exchange.request(PEER, version = 3))
            }

        @Test
        fun `that cannot be read gets no reply, which is logged once`() =
            runPair { _, messenger ->
                repeat(2) { messenger.call(PEER, channel, byteArrayOf(1, 2, 3), timeoutMs = 100) }
                assertEquals(listOf("peer_statement_unreadable"), loggedEvents)
            }
    }

    @Nested
    inner class `a reply` {
        @Test
        fun `that cannot be read is ignored`() {
            assertNull(requestWithReply(byteArrayOf(1, 2, 3)))
            assertNull(requestWithReply(ByteArray(0)))
            assertNull(requestWithReply(encodeReply(byteArrayOf(1, 2, 3))))
            assertEquals(List(3) { "peer_statement_unreadable" }, loggedEvents)
        }

        @Test
        fun `that is cut off is ignored`() {
            val compressed = compress(Random(1).nextBytes(1_000))
            assertNull(requestWithReply(encodeReply(compressed.copyOf(500))))
        }

        @Test
        fun `is read up to 4 MiB, guarding against replies that fill the memory`() {
            assertEquals(MAX_BYTES, requestWithReply(encodeReply(compress(ByteArray(MAX_BYTES))))?.size)
            assertNull(requestWithReply(encodeReply(compress(ByteArray(64 shl 20)))))
        }
    }

    @Serializable
    private class Reply(
        @SerialName("d") @ByteString val compressedValue: ByteArray,
    )

    private fun encodeReply(compressedValue: ByteArray) = Cbor.encodeToByteArray(Reply.serializer(), Reply(compressedValue))

    private fun compress(value: ByteArray): ByteArray {
        val output = ByteArrayOutputStream()
        GZIPOutputStream(output).use { it.write(value) }
        return output.toByteArray()
    }

    private companion object {
        private const val MAX_BYTES = 4 shl 20
        private val PEER = RouterId("r1")
        private val channel = PeerChannel("configuration")
    }
}
