package org.lycheemount.backend

import io.ktor.http.HttpMethod
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.lycheemount.testing.SocketServer
import kotlin.test.Test
import kotlin.test.assertEquals

class ControlResponseTest {
    private val http = BackendHttp(connectTimeoutMs = TIMEOUT_MS, controlTimeoutMs = TIMEOUT_MS)

    @AfterEach
    fun close() = http.close()

    private fun send(server: SocketServer): String? =
        server.use { runBlocking { http.sendControlRequest(it.describe(), HttpMethod.Get, "/load") } }

    private fun respond(partCount: Int) =
        SocketServer {
            readHead()
            write("HTTP/1.1 200 OK\r\nContent-Length: ${partCount * PART_BYTES}\r\n\r\n")
            repeat(partCount) { write(" ".repeat(PART_BYTES)) }
        }

    @Nested
    inner class `the response to a control request` {
        @Test
        fun `is returned if it has the permitted length`() {
            assertEquals(16 * PART_BYTES, send(respond(partCount = 16))?.length)
        }

        @Test
        fun `is discarded if it is longer, so that a body without end does not fill the memory`() {
            assertEquals(null, send(respond(partCount = 17))?.length)
        }
    }

    private companion object {
        private const val PART_BYTES = 1_048_576
        private const val TIMEOUT_MS = 60_000L
    }
}
