package org.lycheemount.listener

import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Over real sockets. */
class ConnectionBoundTest {
    private val refusals = ConcurrentLinkedQueue<ConnectionRefusal>()
    private val started = CompletableDeferred<Unit>()
    private val heldResponse = CompletableDeferred<Unit>()
    private val server =
        createCallerServer("127.0.0.1", port = 0, bounds = ListenerBounds(maxConnections = MAX_CONNECTIONS), onRefused = refusals::add) {
            routing {
                get("/ping") { call.respondText("pong") }
                get("/held") {
                    started.complete(Unit)
                    heldResponse.await()
                    call.respondText("held")
                }
            }
        }.apply { start() }
    private val port = runBlocking { server.port() }
    private val sockets = ArrayList<Socket>()

    @AfterEach
    fun stop() =
        runBlocking {
            sockets.forEach { it.close() }
            server.stop(graceMs = 0, lingerMs = 0)
        }

    private fun open() =
        Socket("127.0.0.1", port).also {
            it.soTimeout = READ_TIMEOUT_MS
            sockets += it
        }

    private fun Socket.request(path: String) = getOutputStream().write("GET $path HTTP/1.1\r\nHost: h\r\n\r\n".encodeToByteArray())

    private fun Socket.readUntil(end: String) = buildString { while (!endsWith(end)) append(getInputStream().read().toChar()) }

    @Test
    fun `connections without a request are closed for new ones, guarding against callers that use up the file descriptors`() {
        val idle = List(3 * MAX_CONNECTIONS) { open() }

        val caller = open().apply { request("/ping") }

        assertContains(caller.readUntil("pong"), "HTTP/1.1 200")
        assertEquals(-1, idle.first().getInputStream().read())
        assertTrue(server.openConnections <= MAX_CONNECTIONS, "${server.openConnections} connections")
        assertEquals(setOf(ConnectionRefusal.TOO_MANY_CONNECTIONS), refusals.toSet())
    }

    @Test
    fun `a connection whose request is in progress is not closed for new ones`() {
        val caller = open().apply { request("/held") }
        runBlocking { started.await() }

        repeat(3 * MAX_CONNECTIONS) { open() }
        await { refusals.size == 2 * MAX_CONNECTIONS + 1 }
        heldResponse.complete(Unit)

        assertContains(caller.readUntil("held"), "HTTP/1.1 200")
    }

    private fun await(condition: () -> Boolean) {
        val endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READ_TIMEOUT_MS.toLong())
        while (!condition()) {
            assertTrue(System.nanoTime() < endNs, "the condition did not hold in time")
            Thread.sleep(POLL_INTERVAL_MS)
        }
    }

    private companion object {
        private const val MAX_CONNECTIONS = 5
        private const val READ_TIMEOUT_MS = 10_000
        private const val POLL_INTERVAL_MS = 5L
    }
}
