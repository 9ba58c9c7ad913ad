package org.lycheemount.app.router.gateway

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.lycheemount.app.router.awaitOpenCount
import org.lycheemount.app.router.fetchStatus
import org.lycheemount.app.router.openConnection
import java.io.IOException
import java.net.Socket
import java.net.SocketTimeoutException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Clients without credentials on the listeners for the readiness check and for metrics. */
class OperationsListenerTest {
    private val fixture = GatewayFixture()
    private val settings = fixture.settings(drainGraceS = 1.0)
    private val process = GatewayProcess(settings).apply { runBlocking { start() } }
    private val addresses = listOf(settings.readinessAddress, settings.metricsAddress).map(::socketAddressOf)

    @AfterEach
    fun stop() {
        runBlocking { process.stop() }
        fixture.close()
    }

    @Test
    fun `a head without end is refused, guarding against heads that fill the heap`() {
        for (address in addresses) {
            openConnection(address).use { socket ->
                val response = sendHeadWithoutEnd(socket)

                assertEquals("HTTP/1.1 431", response.take(STATUS_CHARS))
            }
        }
    }

    @Test
    fun `connections without a request are closed for new ones`() {
        for (address in addresses) {
            val sockets = List(MANY) { openConnection(address) }

            assertEquals(200, fetchStatus(address, "/metrics"))
            assertTrue(awaitOpenCount(sockets, MAX_OPEN) <= MAX_OPEN, "more than $MAX_OPEN of $MANY connections are open")
            sockets.forEach { it.close() }
        }
    }

    /** Sends header fields until the response arrives, or [MAX_HEAD_BYTES] have been sent. */
    private fun sendHeadWithoutEnd(socket: Socket): String {
        val out = socket.getOutputStream()
        val input = socket.getInputStream()
        val fields = "X-Field: ${"v".repeat(FIELD_BYTES)}\r\n".encodeToByteArray()
        try {
            out.write("GET / HTTP/1.1\r\nHost: h\r\n".encodeToByteArray())
            var sentBytes = 0
            while (input.available() == 0 && sentBytes < MAX_HEAD_BYTES) {
                out.write(fields)
                sentBytes += fields.size
            }
        } catch (_: IOException) {
            // The server has closed the connection.
        }
        return try {
            input.readNBytes(STATUS_CHARS).decodeToString()
        } catch (_: SocketTimeoutException) {
            "no response"
        }
    }

    private companion object {
        private const val STATUS_CHARS = 12
        private const val FIELD_BYTES = 1_000
        private const val MAX_HEAD_BYTES = 4_000_000
        private const val MANY = 300
        private const val MAX_OPEN = 200
    }
}
