package org.lycheemount.listener

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.install
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.io.readByteArray
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.io.IOException
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** What one connection can make the router hold or decode, over real sockets. */
class CallerInputTest {
    private val refusals = ConcurrentLinkedQueue<ConnectionRefusal>()
    private val startedRequests = AtomicInteger()
    private val readBytes = AtomicLong()
    private val connection = AtomicReference<CallerConnection>()
    private val heldResponse = CompletableDeferred<Unit>()
    private val cancelledRequest = CompletableDeferred<Unit>()

    /** No head takes so long but one that never ends. */
    @Volatile
    private var headerTimeoutMs = LONG_HEADER_TIMEOUT_MS
    private val server =
        createCallerServer(
            "127.0.0.1",
            port = 0,
            limits = {
                ConnectionLimits(
                    MAX_HEADER_BYTES,
                    headerTimeoutMs = headerTimeoutMs,
                    initialBodyBytes = 0,
                    maxDroppedBodyBytes = MAX_DROPPED_BODY_BYTES,
                )
            },
            onRefused = refusals::add,
        ) {
            module()
        }.apply { start() }
    private val port = runBlocking { server.port() }

    private fun Application.module() {
        install(HttpRequestLifecycle) { cancelCallOnClose = true }
        routing {
            get("/ping") { call.respondText("pong") }
            get("/held") {
                startedRequests.incrementAndGet()
                try {
                    heldResponse.await()
                } catch (cancellation: CancellationException) {
                    cancelledRequest.complete(Unit)
                    throw cancellation
                }
                call.respondText("held")
            }
            post("/upload") {
                call.callerConnection?.permitBody(Long.MAX_VALUE)
                val body = call.receiveChannel().readRemaining().readByteArray()
                call.respondText(if (call.callerConnection?.hasBrokenBody == true) "broken" else "${body.size} bytes")
            }
            post("/refused") {
                call.response.header("Connection", "close")
                call.respondText("refused", status = HttpStatusCode.PayloadTooLarge)
            }
            post("/missing") { call.respondText("missing", status = HttpStatusCode.NotFound) }
            post("/counted") {
                connection.set(call.callerConnection)
                val bytes = ByteArray(8_192)
                val channel = call.receiveChannel()
                while (true) readBytes.addAndGet(channel.readAvailable(bytes).toLong().also { if (it < 0) return@post })
            }
            post("/unread") {
                startedRequests.incrementAndGet()
                try {
                    awaitCancellation()
                } finally {
                    cancelledRequest.complete(Unit)
                }
            }
        }
    }

    @AfterEach
    fun stop() =
        runBlocking {
            heldResponse.complete(Unit)
            server.stop(graceMs = 0, lingerMs = 0)
        }

    @Nested
    inner class `bytes that complete no message` {
        private fun assertRefused(
            begin: String,
            part: String,
        ) = open(begin).use { socket ->
            val response = socket.sendUntilClosed(part)

            assertTrue(response.isEmpty() || response.startsWith("HTTP/1.1 431"), response.take(80))
            assertEquals(listOf(ConnectionRefusal.HEAD_TOO_LARGE), refusals.toList())
        }

        @Test
        fun `are refused in a head without end`() = assertRefused("GET /ping HTTP/1.1\r\n", "X-Pad: ${"a".repeat(1_000)}\r\n")

        @Test
        fun `are refused in a request line without end`() = assertRefused("GET /", "a".repeat(1_000))

        @Test
        fun `are refused in empty lines without end`() = assertRefused("\r\n", "\r\n".repeat(500))

        @Test
        fun `make a body with trailers without end count as malformed, and close the connection`() {
            open("$CHUNKED_UPLOAD${"1\r\nx\r\n0\r\n"}").use { socket ->
                assertContains(socket.sendUntilClosed("X-Pad: ${"a".repeat(1_000)}\r\n"), "broken")
            }
        }

        @Test
        fun `make a body with a chunk extension without end count as malformed, and close the connection`() {
            open("$CHUNKED_UPLOAD${"1;x="}").use { socket -> assertContains(socket.sendUntilClosed("a".repeat(1_000)), "broken") }
        }
    }

    @Nested
    inner class `a head` {
        @Test
        fun `that is malformed is refused, and the connection closes`() {
            val response = open("GET /ping HTTP/1.1\r\nHost h\r\n\r\n").use { it.readToEnd() }

            assertTrue(response.startsWith("HTTP/1.1 400"), response)
        }

        @Test
        fun `that is not complete in time is refused as not run, guarding against callers that hold connections for nothing`() {
            headerTimeoutMs = SHORT_HEADER_TIMEOUT_MS

            val response = open("GET /ping HTTP/1.1\r\n").use { it.readToEnd() }

            assertTrue(response.startsWith("HTTP/1.1 408"), response)
        }

        @Test
        fun `within the limit is served if it arrives in parts`() {
            val pads = (1..15).joinToString("") { "X-Pad-$it: ${"a".repeat(1_000)}\r\n" }
            open("GET /ping?${"a".repeat(10_000)} HTTP/1.1\r\n").use { socket ->
                Thread.sleep(100)
                socket.send("Host: h\r\n$pads")
                Thread.sleep(100)
                socket.send("$CLOSE\r\n")

                assertContains(socket.readToEnd(), "pong")
            }
        }

        @Test
        fun `does not begin with an empty line, guarding against the close of a connection that waits for its next request`() {
            headerTimeoutMs = SHORT_HEADER_TIMEOUT_MS

            open("GET /ping HTTP/1.1\r\nHost: h\r\n\r\n\r\n").use { socket ->
                Thread.sleep(2 * SHORT_HEADER_TIMEOUT_MS)
                headerTimeoutMs = LONG_HEADER_TIMEOUT_MS
                socket.send("GET /ping HTTP/1.1\r\nHost: h\r\n$CLOSE\r\n")

                assertEquals(2, "pong".toRegex().findAll(socket.readToEnd()).count())
            }
        }
    }

    @Nested
    inner class `requests that are sent ahead` {
        @Test
        fun `are not decoded before the response, guarding against requests without number that fill the memory`() {
            open("GET /held HTTP/1.1\r\nHost: h\r\n\r\n".repeat(50)).use {
                await { startedRequests.get() > 0 }
                Thread.sleep(200)

                assertEquals(1, startedRequests.get())
            }
        }

        @Test
        fun `are served once the response is written, although nothing else arrives`() {
            val requests = "GET /held HTTP/1.1\r\nHost: h\r\n\r\n".repeat(300) + "GET /ping HTTP/1.1\r\nHost: h\r\n$CLOSE\r\n"
            open("").use { socket ->
                val sender = thread { socket.send(requests) }
                await { startedRequests.get() > 0 }
                heldResponse.complete(Unit)
                val response = socket.readToEnd()
                sender.join()

                assertEquals(300, "\r\n\r\nheld".toRegex().findAll(response).count())
                assertTrue(response.endsWith("pong"))
            }
        }

        @Test
        fun `are read no further than a bound`() {
            open("GET /held HTTP/1.1\r\nHost: h\r\n\r\n").use { socket ->
                await { startedRequests.get() > 0 }
                val sender = thread { runCatching { repeat(100) { socket.send("GET /held HTTP/1.1\r\n".repeat(50_000)) } } }
                sender.join(2_000)

                assertTrue(sender.isAlive, "100 MB have been read")
                socket.close()
                sender.join()
            }
        }

        @Test
        fun `do not hide that the caller closes its connection, as its request would run for nobody`() {
            open("GET /held HTTP/1.1\r\nHost: h\r\n\r\nGET /ping HTTP/1.1\r\n").use { socket ->
                await { startedRequests.get() > 0 }
                socket.close()

                runBlocking { withTimeout(READ_TIMEOUT_MS.toLong()) { cancelledRequest.await() } }
            }
        }

        @Test
        fun `behind a malformed one are not served, and the response to the one before is whole`() {
            open("GET /held HTTP/1.1\r\nHost: h\r\n\r\nGET /ping HTTP/1.1\r\nHost h\r\n\r\nGET /ping HTTP/1.1\r\n\r\n").use { socket ->
                await { startedRequests.get() > 0 }
                heldResponse.complete(Unit)
                val response = socket.readToEnd()

                assertContains(response, "held")
                assertContains(response, "HTTP/1.1 400")
                assertTrue("pong" !in response, response)
            }
        }
    }

    @Nested
    inner class `a body` {
        @Test
        fun `in one-byte chunks is read whole`() {
            val response = open("${CHUNKED_UPLOAD}${"1\r\nx\r\n".repeat(20_000)}0\r\n\r\n").use { it.readToEnd() }

            assertContains(response, "20000 bytes")
        }

        @Test
        fun `of a stated length is read whole, with the request behind it`() {
            val head = "POST /upload HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"
            val response = open("$head${"x".repeat(100_000)}GET /ping HTTP/1.1\r\nHost: h\r\n$CLOSE\r\n").use { it.readToEnd() }

            assertContains(response, "100000 bytes")
            assertContains(response, "pong")
        }

        @Test
        fun `is sent after an interim response if the caller asks for one`() {
            open("POST /upload HTTP/1.1\r\nHost: h\r\n${CLOSE}Expect: 100-continue\r\nContent-Length: 5\r\n\r\n").use { socket ->
                val interim = socket.getInputStream().readNBytes("HTTP/1.1 100 Continue".length).decodeToString()
                socket.send("hello")

                assertEquals("HTTP/1.1 100 Continue", interim)
                assertContains(socket.readToEnd(), "5 bytes")
            }
        }

        @Test
        fun `is read no further than its handler permits, guarding against bodies that the engine buffers`() {
            open("POST /counted HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000\r\n\r\n").use { socket ->
                val sender = thread { runCatching { while (true) socket.send("x".repeat(1_000)) } }
                await { connection.get() != null }
                Thread.sleep(300)
                assertTrue(readBytes.get() <= 8_192, "${readBytes.get()} bytes before the permission")
                connection.get().permitBody(1_000_000)
                await { readBytes.get() >= 1_000_000 }
                Thread.sleep(300)

                assertTrue(readBytes.get() <= 1_008_192, "${readBytes.get()} bytes for 1,000,000")
                socket.close()
                sender.join()
            }
        }

        @Test
        fun `that is refused before its end closes the connection, guarding against callers that are read for ever`() {
            open("POST /refused HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n").use { socket ->
                val response = socket.sendUntilClosed("1\r\nx\r\n".repeat(100))

                assertTrue(response.isEmpty() || response.startsWith("HTTP/1.1 413"), response.take(80))
            }
        }

        @Test
        fun `that is refused before its end is read so far that its caller gets the response, guarding against refusals lost to a reset`() {
            open("POST /refused HTTP/1.1\r\nHost: h\r\nContent-Length: $LARGE_BODY_BYTES\r\n\r\n", SEND_BUFFER_BYTES).use { socket ->
                socket.send("x".repeat(LARGE_BODY_BYTES))

                assertContains(socket.readToEnd(), "HTTP/1.1 413")
            }
        }

        @Test
        fun `behind a refusal closes the connection at the limit, guarding against callers that are read for ever`() {
            open("POST /missing HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n").use { socket ->
                val response = socket.sendUntilClosed("1\r\nx\r\n".repeat(100))

                assertTrue(response.isEmpty() || response.startsWith("HTTP/1.1 404"), response.take(80))
                assertEquals(listOf(ConnectionRefusal.DROPPED_BODY_TOO_LARGE), refusals.toList())
            }
        }

        @Test
        fun `behind a refusal is dropped within the limit, and the requests behind it are served`() {
            val bodyBytes = MAX_DROPPED_BODY_BYTES.toInt() * 3 / 4
            val refused = "POST /missing HTTP/1.1\r\nHost: h\r\nContent-Length: $bodyBytes\r\n\r\n${"x".repeat(bodyBytes)}"
            val response = open("$refused${refused}GET /ping HTTP/1.1\r\nHost: h\r\n$CLOSE\r\n").use { it.readToEnd() }

            assertEquals(2, "HTTP/1.1 404".toRegex().findAll(response).count())
            assertContains(response, "pong")
        }

        @Test
        fun `that nobody reads is not read further than a bound, guarding against bodies that fill the memory`() {
            open("POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000\r\n\r\n").use { socket ->
                await { startedRequests.get() > 0 }
                val sender = thread { runCatching { repeat(100) { socket.send("x".repeat(1_000_000)) } } }
                sender.join(2_000)

                assertTrue(sender.isAlive, "100 MB have been read")
                socket.close()
                sender.join()
            }
        }
    }

    private fun open(
        request: String,
        sendBufferBytes: Int? = null,
    ) = Socket("127.0.0.1", port).apply {
        soTimeout = READ_TIMEOUT_MS
        sendBufferBytes?.let { sendBufferSize = it }
        send(request)
    }

    private fun Socket.send(text: String) = getOutputStream().write(text.encodeToByteArray())

    /** Sends [part] again and again until the server closes the connection, and returns the response. */
    private fun Socket.sendUntilClosed(part: String): String {
        val sender = thread { runCatching { while (true) send(part) } }
        return readToEnd().also {
            close()
            sender.join()
        }
    }

    private fun Socket.readToEnd(): String {
        val received = StringBuilder()
        try {
            while (true) received.append(getInputStream().read().takeIf { it >= 0 }?.toChar() ?: break)
        } catch (failure: IOException) {
            if (failure is SocketTimeoutException) throw failure
        }
        return received.toString()
    }

    private fun await(condition: () -> Boolean) {
        val deadlineNs = System.nanoTime() + READ_TIMEOUT_MS * 1_000_000L
        while (!condition()) {
            assertTrue(System.nanoTime() < deadlineNs, "timed out")
            Thread.sleep(5)
        }
    }

    private companion object {
        private const val CLOSE = "Connection: close\r\n"
        private const val CHUNKED_UPLOAD = "POST /upload HTTP/1.1\r\nHost: h\r\n${CLOSE}Transfer-Encoding: chunked\r\n\r\n"
        private const val MAX_HEADER_BYTES = 16_384
        private const val SHORT_HEADER_TIMEOUT_MS = 500L
        private const val LONG_HEADER_TIMEOUT_MS = 60_000L
        private const val READ_TIMEOUT_MS = 60_000
        private const val MAX_DROPPED_BODY_BYTES = 1_000_000L
        private const val LARGE_BODY_BYTES = 750_000

        // So small that the caller is still sending when the response is written.
        private const val SEND_BUFFER_BYTES = 16_384
    }
}
