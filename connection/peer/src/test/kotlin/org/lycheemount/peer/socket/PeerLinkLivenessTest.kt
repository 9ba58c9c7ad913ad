package org.lycheemount.peer.socket

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.lycheemount.common.DefaultEventLog
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

@OptIn(ExperimentalCoroutinesApi::class)
class PeerLinkLivenessTest {
    private val settings = PeerLinkSettings(keepAliveIntervalMs = 1_000, idleTimeoutMs = 3_000)

    @Nested
    inner class `a check of a link` {
        @Test
        fun `closes it after the idle timeout without a frame, guarding against links that are up on one side only`() =
            runLink { link, _ ->
                repeat(3) { link.checkLiveness() }
                assertTrue(link.isOpen)

                link.checkLiveness()

                assertFalse(link.isOpen)
                link.awaitClosed()
            }

        @Test
        fun `sends one keep-alive if nothing was sent since the last check, and none after a message`() =
            runLink { link, stream ->
                link.checkLiveness()
                runCurrent()
                val afterKeepAlive = stream.flushes
                link.send(echoChannel, byteArrayOf(1))
                link.checkLiveness()
                runCurrent()

                assertEquals(1, afterKeepAlive)
                assertEquals(2, stream.flushes)
            }

        @Test
        fun `closes it if the peer reads nothing, guarding against a queue that a silent peer never empties`() =
            runLink { link, stream ->
                stream.blocksWrites = true
                link.send(echoChannel, byteArrayOf(1))
                runCurrent()

                repeat(3) { link.checkLiveness() }
                assertTrue(link.isOpen)
                link.checkLiveness()

                assertFalse(link.isOpen)
            }
    }

    private fun runLink(body: suspend TestScope.(PeerLink, SilentStream) -> Unit) =
        runTest {
            val stream = SilentStream()
            val link =
                PeerLink(identity("peer"), true, FrameStream(stream, LinkTraffic()), settings, emptyMap(), DefaultEventLog("peer"))
            val running = async { link.run() }
            runCurrent()
            body(link, stream)
            running.cancelAndJoin()
        }

    /** Stream whose peer sends nothing. */
    private class SilentStream : ByteStream {
        private val closed = CompletableDeferred<Unit>()
        var blocksWrites = false
        var flushes = 0
            private set

        override suspend fun readSome(
            buffer: ByteArray,
            offset: Int,
            length: Int,
        ): Int {
            closed.await()
            return -1
        }

        override suspend fun write(bytes: ByteArray) {
            if (blocksWrites) closed.await()
        }

        override suspend fun flush() {
            flushes++
        }

        override fun close() {
            closed.complete(Unit)
        }
    }
}
