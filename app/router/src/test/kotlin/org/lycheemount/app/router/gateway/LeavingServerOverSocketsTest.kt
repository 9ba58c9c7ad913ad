package org.lycheemount.app.router.gateway

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.lycheemount.platform.adapter.testing.LEAVING_HEADER
import org.lycheemount.platform.adapter.testing.REQUEST_ID_HEADER
import java.io.IOException
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals

class LeavingServerOverSocketsTest {
    private val fixture = GatewayFixture()
    private var requestCount = 0

    @AfterEach
    fun closeFixture() = fixture.close()

    @Nested
    inner class `a server that says that it leaves while the store is silent` {
        @Test
        fun `gets no request that a caller sent after such a response, and all callers are served`() {
            val leaving = fixture.AdditionalServer("i-2")
            val settings = fixture.settings(drainGraceS = 1.0)
            val process = GatewayProcess(settings).apply { runBlocking { start() } }
            awaitResponse(settings.callersAddress) { it.startsWith(OK) && leaving.requestCount.get() > 0 }
            fixture.silenceStore()
            leaving.isLeaving = true
            awaitResponse(settings.callersAddress) { "$LEAVING_HEADER: 1" in it }
            val before = leaving.requestCount.get()

            val responses = List(REQUESTS) { send(settings.callersAddress) }

            runBlocking { process.stop() }
            assertEquals(before, leaving.requestCount.get())
            assertEquals(REQUESTS, responses.count { it.startsWith(OK) })
        }
    }

    private fun awaitResponse(
        address: String,
        isExpected: (String) -> Boolean,
    ) {
        while (!isExpected(send(address))) Thread.sleep(POLL_INTERVAL_MS)
    }

    /** Sends a request and returns the response, or nothing unless the router listens. */
    private fun send(address: String): String =
        try {
            Socket().use { socket ->
                socket.connect(socketAddressOf(address))
                val head = "GET /plain/ HTTP/1.1\r\nHost: h\r\n$REQUEST_ID_HEADER: ${requestCount++}\r\nConnection: close\r\n\r\n"
                socket.getOutputStream().write(head.encodeToByteArray())
                socket.getInputStream().readAllBytes().decodeToString()
            }
        } catch (_: IOException) {
            ""
        }

    private companion object {
        private const val OK = "HTTP/1.1 200"
        private const val REQUESTS = 200
        private const val POLL_INTERVAL_MS = 5L
    }
}
