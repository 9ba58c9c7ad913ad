package org.lycheemount.listener

import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Idle timeout of the current limits, over real sockets. */
class IdleTimeoutTest {
    private val server =
        createCallerServer("127.0.0.1", port = 0, limits = { ConnectionLimits(idleTimeoutMs = IDLE_TIMEOUT_MS) }) {
            routing { get("/ping") { call.respondText("pong") } }
        }.apply { start() }

    @AfterEach
    fun stop() = runBlocking { server.stop(graceMs = 0, lingerMs = 0) }

    private fun Socket.ping(): String {
        getOutputStream().write("GET /ping HTTP/1.1\r\nHost: h\r\n\r\n".encodeToByteArray())
        val received = StringBuilder()
        while (!received.endsWith("pong")) received.append(getInputStream().read().also { assertTrue(it >= 0, "closed") }.toChar())
        return received.toString()
    }

    @Nested
    inner class `a connection without a request` {
        @Test
        fun `is closed after the idle timeout of the limits, and not before, guarding against a timeout that is not applied`() {
            Socket("127.0.0.1", runBlocking { server.port() }).use {
                it.soTimeout = READ_TIMEOUT_MS
                val sentAtNs = System.nanoTime()
                it.ping()

                assertEquals(-1, it.getInputStream().read())
                // The timeout begins with the write of the response, after the request was sent.
                assertTrue(System.nanoTime() - sentAtNs >= IDLE_TIMEOUT_MS * NS_PER_MS)
            }
        }
    }

    private companion object {
        private const val IDLE_TIMEOUT_MS = 1_500L
        private const val READ_TIMEOUT_MS = 30_000
        private const val NS_PER_MS = 1_000_000L
    }
}
