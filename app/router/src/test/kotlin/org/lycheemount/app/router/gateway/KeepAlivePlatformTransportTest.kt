package org.lycheemount.app.router.gateway

import io.ktor.http.HttpMethod
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.lycheemount.backend.BackendHttp
import org.lycheemount.backend.DefaultPassThroughClient
import org.lycheemount.common.DefaultClock
import org.lycheemount.platform.adapter.testing.freeListenerAddress
import org.lycheemount.platform.http.PlatformExchange
import org.lycheemount.testing.FakeEventLog
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class KeepAlivePlatformTransportTest {
    private val backendHttp = BackendHttp()

    /** Only tests of the timeout may reach it, on a machine of any speed. */
    private var callTimeoutMs = 60_000L
    private val transport by lazy {
        KeepAlivePlatformTransport(DefaultPassThroughClient(backendHttp), callTimeoutMs, DefaultClock(), FakeEventLog())
    }
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val connections = AtomicInteger()

    @Volatile
    private var slowBody = false

    @Volatile
    private var response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok"

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                connections.incrementAndGet()
                thread(isDaemon = true) { serve(socket) }
            }
        }
    }

    @AfterEach
    fun close() {
        listener.close()
        backendHttp.close()
    }

    /** Sends [response] to each request. Closes the connection after a response that is not complete. */
    private fun serve(socket: Socket) =
        socket.use {
            val lines = socket.getInputStream().bufferedReader()
            while (true) {
                var line = lines.readLine() ?: return
                while (line.isNotEmpty()) line = lines.readLine() ?: return
                socket.getOutputStream().write(response.encodeToByteArray())
                socket.getOutputStream().flush()
                if (slowBody) sendSlowBody(socket)
                if (response.endsWith("ok")) continue
                Thread.sleep(CLOSE_DELAY_MS)
                return
            }
        }

    /** Takes twice the timeout of a call as a whole. */
    private fun sendSlowBody(socket: Socket) =
        repeat(SLOW_PARTS) {
            socket.getOutputStream().write(ByteArray(PART_BYTES))
            socket.getOutputStream().flush()
            Thread.sleep(2 * callTimeoutMs / SLOW_PARTS)
        }

    private fun exchange(address: String = "127.0.0.1:${listener.localPort}") =
        runBlocking { transport.exchange(HttpMethod.Get, "http://$address/-/rows?table=a%20b") }

    @Nested
    inner class `consecutive calls` {
        @Test
        fun `share one connection`() {
            repeat(3) { assertEquals("ok", assertIs<PlatformExchange.Response>(exchange()).body.decodeToString()) }

            assertEquals(1, connections.get())
        }
    }

    @Nested
    inner class `a call` {
        @Test
        fun `whose response is truncated is reported as lost, so that half a page is not taken for a complete one`() {
            response = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf"

            assertIs<PlatformExchange.Lost>(exchange())
        }

        @Test
        fun `whose response arrives slowly, but within the timeout for each part, is complete`() {
            callTimeoutMs = LONG_CALL_TIMEOUT_MS
            response = "HTTP/1.1 200 OK\r\nContent-Length: ${SLOW_PARTS * PART_BYTES}\r\n\r\n"
            slowBody = true

            assertEquals(SLOW_PARTS * PART_BYTES, assertIs<PlatformExchange.Response>(exchange()).body.size)
        }

        @Test
        fun `without a response within the timeout is reported as lost`() {
            callTimeoutMs = SHORT_CALL_TIMEOUT_MS
            response = ""

            assertIs<PlatformExchange.Lost>(exchange())
        }

        @Test
        fun `to a port without a listener is reported as not sent`() {
            // A closed listener may still accept a connection while a thread is blocked in accept, so another address is used.
            assertIs<PlatformExchange.NotSent>(exchange(freeListenerAddress()))
        }
    }

    private companion object {
        private const val BACKLOG = 8
        private const val SHORT_CALL_TIMEOUT_MS = 300L

        // A server that sends the parts of a body has this time for each.
        private const val LONG_CALL_TIMEOUT_MS = 3_000L
        private const val CLOSE_DELAY_MS = 400L
        private const val SLOW_PARTS = 40
        private const val PART_BYTES = 4_096
    }
}
