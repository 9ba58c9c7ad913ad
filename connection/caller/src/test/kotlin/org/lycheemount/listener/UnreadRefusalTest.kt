package org.lycheemount.listener

import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.lycheemount.common.DefaultClock
import org.lycheemount.common.MemoryBudget
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Refusals over real sockets to callers that do not read them. */
class UnreadRefusalTest {
    private val clock = DefaultClock()
    private val refusals = ConcurrentLinkedQueue<ConnectionRefusal>()
    private val budget = MemoryBudget(CAPACITY_BYTES)
    private val server =
        createCallerServer("127.0.0.1", port = 0, bounds = BOUNDS, memory = budget, onRefused = refusals::add) {
            routing { get("/ping") { call.respondText("pong") } }
        }.apply { start() }
    private val port = runBlocking { server.port() }

    @AfterEach
    fun stop() = runBlocking { server.stop(graceMs = 0, lingerMs = 0) }

    @Nested
    inner class `refusals of unknown routes that their caller does not read` {
        @Test
        fun `close with their connection if others need the memory, guarding against refusals that hold it until the write timeout`() {
            openUnread().use {
                await {
                    needMemory()
                    refusals.isNotEmpty()
                }
                await { server.openConnections == 0 && budget.usage.usedBytes == 0L }

                assertEquals(listOf(ConnectionRefusal.UNREAD_RESPONSE), refusals.toList())
            }
        }
    }

    @Nested
    inner class `a refusal that its caller reads` {
        @Test
        fun `arrives although the memory of its request was dropped before`() {
            val others = budget.open(clock.monotonicMs()).also { it.tryTake(CAPACITY_BYTES) }
            others.complete()
            Socket("127.0.0.1", port).use {
                it.soTimeout = TIMEOUT_MS
                it.getOutputStream().write("GET /unknown HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".encodeToByteArray())

                assertContains(it.getInputStream().readAllBytes().decodeToString(), "HTTP/1.1 404")
            }

            assertEquals(emptyList(), refusals.toList())
        }
    }

    /** Sends requests for an unknown route until the connection takes no more of them. Reads nothing. */
    private fun openUnread(): Socket {
        val socket = Socket()
        socket.receiveBufferSize = SMALL_BUFFER_BYTES
        socket.connect(InetSocketAddress("127.0.0.1", port))
        val requests = "GET /unknown HTTP/1.1\r\nHost: h\r\n\r\n".repeat(REQUESTS).encodeToByteArray()
        thread(isDaemon = true) { runCatching { while (true) socket.getOutputStream().write(requests) } }
        return socket
    }

    /** Another request needs all of the budget for a moment. */
    private fun needMemory() {
        val account = budget.open(clock.monotonicMs())
        account.charge(CAPACITY_BYTES, clock.monotonicMs())
        account.release()
    }

    private fun await(condition: () -> Boolean) {
        val deadlineNs = System.nanoTime() + TIMEOUT_MS * NS_PER_MS
        while (!condition()) {
            assertTrue(System.nanoTime() < deadlineNs, "timed out: ${budget.usage}, $refusals")
            Thread.sleep(POLL_MS)
        }
    }

    private companion object {
        private const val CAPACITY_BYTES = 200_000L
        private const val SMALL_BUFFER_BYTES = 4_096
        private val BOUNDS = ListenerBounds(receiveBufferBytes = SMALL_BUFFER_BYTES, sendBufferBytes = SMALL_BUFFER_BYTES)
        private const val REQUESTS = 100
        private const val TIMEOUT_MS = 30_000
        private const val POLL_MS = 5L
        private const val NS_PER_MS = 1_000_000L
    }
}
