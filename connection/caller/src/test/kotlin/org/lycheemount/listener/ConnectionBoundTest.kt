package org.lycheemount.listener

import io.ktor.server.request.receiveChannel
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.runBlocking
import kotlinx.io.readByteArray
import org.junit.jupiter.api.AfterEach
import java.io.EOFException
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Over real sockets. */
class ConnectionBoundTest {
    private val refusals = ConcurrentLinkedQueue<ConnectionRefusal>()
    private val started = CompletableDeferred<Unit>()
    private val heldResponse = CompletableDeferred<Unit>()
    private val startedUploads = AtomicInteger()
    private val startedLargeResponses = AtomicInteger()
    private val server =
        createCallerServer("127.0.0.1", port = 0, bounds = ListenerBounds(maxConnections = MAX_CONNECTIONS), onRefused = refusals::add) {
            routing {
                get("/ping") { call.respondText("pong") }
                post("/upload") {
                    startedUploads.incrementAndGet()
                    call.receiveChannel().readRemaining().readByteArray()
                }
                get("/large") {
                    startedLargeResponses.incrementAndGet()
                    call.respondBytes(ByteArray(LARGE_BYTES))
                }
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

    private fun Socket.readUntil(end: String) =
        buildString {
            while (!endsWith(end)) append(getInputStream().read().also { if (it < 0) throw EOFException("closed before $end") }.toChar())
        }

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

    /** Opens connections until one is served, as a caller does whose connection is closed without a response. */
    private fun awaitServed() =
        await {
            runCatching { open().apply { request("/ping") }.readUntil("pong") }.isSuccess
        }

    @Test
    fun `callers whose bodies do not end are closed for new ones, guarding against callers that keep all others out`() {
        repeat(MAX_CONNECTIONS) {
            open().getOutputStream().write(
                "POST /upload HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n".encodeToByteArray(),
            )
        }
        await { startedUploads.get() == MAX_CONNECTIONS }

        awaitServed()
    }

    @Test
    fun `callers that do not read their responses are closed for new ones, guarding against callers that keep all others out`() {
        repeat(MAX_CONNECTIONS) { open().request("/large") }
        await { startedLargeResponses.get() == MAX_CONNECTIONS }

        awaitServed()
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

        // More than the buffers of both sockets hold.
        private const val LARGE_BYTES = 16 * 1_048_576
        private const val READ_TIMEOUT_MS = 10_000
        private const val POLL_INTERVAL_MS = 5L
    }
}
