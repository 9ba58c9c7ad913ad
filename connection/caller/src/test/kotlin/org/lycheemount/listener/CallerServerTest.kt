package org.lycheemount.listener

import io.ktor.http.ContentType
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.install
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import io.ktor.utils.io.readRemaining
import io.ktor.utils.io.writeFully
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import kotlinx.coroutines.withTimeout
import kotlinx.io.readByteArray
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.lycheemount.testing.LISTENER_HOST
import java.io.IOException
import java.io.InputStream
import java.net.ConnectException
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** What callers may rely on whatever HTTP engine serves them, over real sockets. */
class CallerServerTest {
    private val handledRequests = AtomicInteger()
    private val writtenBytes = AtomicLong()
    private val waitingRequest = CompletableDeferred<Unit>()
    private val heldResponse = CompletableDeferred<Unit>()
    private val cancelledRequest = CompletableDeferred<Unit>()

    /** Idle timeout of the limits; null for that of the server. */
    @Volatile
    private var idleTimeoutMs: Long? = LONG_IDLE_TIMEOUT_MS
    private val server =
        createCallerServer(LISTENER_HOST, port = 0, IDLE_TIMEOUT_S, limits = { ConnectionLimits(idleTimeoutMs = idleTimeoutMs) }) {
            module()
        }.apply { start() }
    private val port = runBlocking { server.port() }

    private fun Application.module() {
        install(HttpRequestLifecycle) { cancelCallOnClose = true }
        routing {
            get("/ping/{id}") { respondHandled(call, call.parameters["id"].orEmpty()) }
            post("/upload") {
                val body = call.receiveChannel().readRemaining().readByteArray()
                if (call.callerConnection?.hasBrokenBody == true) call.respondText("broken") else respondHandled(call, "${body.size} bytes")
            }
            get("/large") { respondLarge(call) }
            get("/held") {
                waitingRequest.complete(Unit)
                heldResponse.await()
                respondHandled(call, "held")
            }
            get("/hanging") {
                waitingRequest.complete(Unit)
                try {
                    awaitCancellation()
                } catch (cancellation: CancellationException) {
                    cancelledRequest.complete(Unit)
                    throw cancellation
                }
            }
        }
    }

    private suspend fun respondHandled(
        call: ApplicationCall,
        text: String,
    ) {
        handledRequests.incrementAndGet()
        call.respondText(text)
    }

    private suspend fun respondLarge(call: ApplicationCall) =
        call.respondBytesWriter(ContentType.Application.OctetStream, contentLength = LARGE_BYTES) {
            val part = ByteArray(PART_BYTES)
            repeat((LARGE_BYTES / PART_BYTES).toInt()) {
                writeFully(part)
                flush()
                writtenBytes.addAndGet(PART_BYTES.toLong())
            }
        }

    @AfterEach
    fun stop() =
        runBlocking {
            heldResponse.complete(Unit)
            server.stop(graceMs = 0, lingerMs = 0)
        }

    @Nested
    inner class `a body in chunks` {
        @Test
        fun `is read whole`() {
            assertContains(exchange(chunkedUpload("5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n")), "11 bytes")
        }

        @Test
        fun `is marked as broken if a chunk has no valid size, guarding against a part of a body that is taken for all of it`() {
            assertContains(exchange(chunkedUpload("5\r\nhello\r\nzz\r\n world\r\n0\r\n\r\n")), "broken")
        }

        @Test
        fun `is marked as broken if the caller leaves between two chunks, guarding against a part of a body that is taken for all of it`() {
            repeat(50) {
                open(chunkedUpload("5\r\nhello\r\n")).use { socket ->
                    socket.shutdownOutput()
                    socket.readToEnd()
                }
            }

            assertEquals(0, handledRequests.get())
        }
    }

    /** Guards against a part of a request that runs as the whole one. */
    @Nested
    inner class `a request that is cut off` {
        private fun assertNotHandled(request: String) {
            for (length in 0 until request.length) {
                open(request.take(length)).use { socket ->
                    socket.shutdownOutput()
                    socket.readToEnd()
                }
            }

            assertEquals(0, handledRequests.get())
            assertContains(exchange(request), "HTTP/1.1 200")
            assertEquals(1, handledRequests.get())
        }

        @Test
        fun `in its head is not handled, at each byte`() = assertNotHandled("GET /ping/1 HTTP/1.1\r\nHost: h\r\n$CLOSE\r\n")

        @Test
        fun `with a body in chunks is not handled, at each byte`() = assertNotHandled(chunkedUpload("5\r\nhello\r\n0\r\nSum: 1\r\n\r\n"))

        @Test
        fun `with a body of a stated length is not handled, at each byte`() =
            assertNotHandled("POST /upload HTTP/1.1\r\nHost: h\r\n${CLOSE}Content-Length: 5\r\n\r\nhello")
    }

    @Nested
    inner class `a request head` {
        @Test
        fun `may have a long request line and long header lines`() {
            val response = exchange("GET /ping/${"a".repeat(10_000)} HTTP/1.1\r\nHost: h\r\nX-Long: ${"b".repeat(12_000)}\r\n$CLOSE\r\n")

            assertContains(response, "HTTP/1.1 200")
        }

        @Test
        fun `that never ends is refused, guarding against a caller that uses up the memory of a router`() {
            val response =
                open("GET /ping/1 HTTP/1.1\r\n").use { socket ->
                    runCatching { repeat(10_000) { socket.send("X-Pad: 0123456789\r\n") } }
                    socket.readToEnd()
                }

            assertTrue(response.isEmpty() || response.startsWith("HTTP/1.1 4"), response.take(80))
            assertEquals(0, handledRequests.get())
        }

        @Test
        fun `that arrives slowly is cut off at the idle timeout, guarding against callers that hold connections for nothing`() {
            idleTimeoutMs = null

            open("GET /ping/1 HTTP/1.1\r\n").use { socket ->
                val sender =
                    thread {
                        runCatching {
                            repeat(100) {
                                socket.send("X-Pad: 0\r\n")
                                Thread.sleep(100)
                            }
                        }
                    }

                socket.readToEnd()
                sender.join()
            }

            assertEquals(0, handledRequests.get())
        }
    }

    @Nested
    inner class `a connection` {
        @Test
        fun `is closed by the server once it has been idle for the timeout`() {
            idleTimeoutMs = null

            open("GET /ping/1 HTTP/1.1\r\nHost: h\r\n\r\n").use { assertContains(it.readToEnd(), "HTTP/1.1 200") }
        }

        @Test
        fun `stays open for longer than the idle timeout while its request is in progress`() {
            idleTimeoutMs = null

            open("GET /held HTTP/1.1\r\nHost: h\r\n\r\n").use { socket ->
                Thread.sleep((IDLE_TIMEOUT_S + 1) * 1_000)
                heldResponse.complete(Unit)

                assertContains(socket.readToEnd(), "held")
            }
        }

        @Test
        fun `is forgotten once it is closed, guarding against short connections that fill the memory until their idle timeout`() {
            val channel = EmbeddedChannel(CallerConnectionHandler(IDLE_TIMEOUT_S, { ConnectionLimits() }, RequestMemory(null), {}, {}))

            channel.pipeline().fireChannelInactive()

            assertEquals(NO_SCHEDULED_TASK, channel.runScheduledPendingTasks())
        }

        @Test
        fun `carries pipelined requests, whose responses keep their order`() {
            val requests = (1..20).joinToString("") { "GET /ping/p$it HTTP/1.1\r\nHost: h\r\n${if (it == 20) CLOSE else ""}\r\n" }

            val response = open(requests).use { it.readToEnd() }

            assertEquals((1..20).map { "p$it" }, Regex("\r\n\r\n(p\\d+)").findAll(response).map { it.groupValues[1] }.toList())
        }

        @Test
        fun `carries nothing after a response that is cut, guarding against the response to a pipelined request in place of its rest`() {
            val socket = SlowSocket()
            val channel =
                EmbeddedChannel(socket, CallerConnectionHandler(IDLE_TIMEOUT_S, { ConnectionLimits() }, RequestMemory(null), {}, {}))
            val id = channel.attr(CallerConnectionHandler.RESPONSES).get().add(CallerResponse())
            val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
            head.headers().set(CallerConnectionHandler.RESPONSE_HEADER, id)
            val pipelined = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)

            channel.write(head)
            channel.write(LastHttpContent.EMPTY_LAST_CONTENT)
            channel.write(pipelined)
            socket.accepts = true
            channel.flush()

            assertContains(socket.sent, head)
            assertTrue(socket.sent.none { it is LastHttpContent }, "${socket.sent}")
            assertFalse(channel.isOpen)
        }

        @Test
        fun `whose caller closes its sending side counts as closed, as a request that nobody waits for costs others their turn`() {
            open("GET /hanging HTTP/1.1\r\nHost: h\r\n$CLOSE\r\n").use { socket ->
                await(waitingRequest)
                socket.shutdownOutput()

                await(cancelledRequest)
            }
        }
    }

    @Nested
    inner class `a large response` {
        @Test
        fun `reaches a caller that reads it slowly as a whole`() {
            open("GET /large HTTP/1.1\r\nHost: h\r\n$CLOSE\r\n").use { socket ->
                val input = socket.getInputStream()
                repeat(10) {
                    input.readNBytes(PART_BYTES)
                    Thread.sleep(50)
                }

                assertTrue(input.readAllBytes().size > LARGE_BYTES - 11 * PART_BYTES)
            }
        }

        @Test
        fun `is written no faster than the caller reads it, guarding against responses that fill the memory of a router`() {
            open("GET /large HTTP/1.1\r\nHost: h\r\n$CLOSE\r\n").use { socket ->
                socket.getInputStream().readNBytes(PART_BYTES)
                Thread.sleep(1_000)

                assertTrue(writtenBytes.get() < LARGE_BYTES / 2, "${writtenBytes.get()} bytes have been written")
            }
        }
    }

    /** Its grace period and linger time pass in virtual time, so that what callers do in them may take any time. */
    @OptIn(ExperimentalCoroutinesApi::class)
    @Nested
    inner class `a server that stops` {
        private val scheduler = TestCoroutineScheduler()

        private fun stopServer() =
            CoroutineScope(StandardTestDispatcher(scheduler)).launch { server.stop(graceMs = GRACE_MS, lingerMs = LINGER_MS) }

        private fun endGracePeriod() {
            scheduler.advanceTimeBy(GRACE_MS)
            scheduler.runCurrent()
        }

        private fun awaitStopped(stopped: Job) =
            await {
                scheduler.runCurrent()
                stopped.isCompleted
            }

        @Test
        fun `refuses new connections and serves open ones until its grace ends`() {
            open("GET /ping/first HTTP/1.1\r\nHost: h\r\n\r\n").use { socket ->
                val input = socket.getInputStream()
                input.readUntil("first")
                val stopped = stopServer()
                awaitRefused()
                socket.send("GET /ping/late HTTP/1.1\r\nHost: h\r\n\r\n")

                assertContains(input.readUntil("late"), "HTTP/1.1 200")
                endGracePeriod()
                assertEquals(-1, input.read())
                awaitStopped(stopped)
            }
        }

        @Test
        fun `sends the response to a request that is in progress at the end of its grace`() {
            open("GET /held HTTP/1.1\r\nHost: h\r\n\r\n").use { socket ->
                await(waitingRequest)
                val stopped = stopServer()
                awaitRefused()
                endGracePeriod()
                heldResponse.complete(Unit)

                assertContains(socket.readToEnd(), "held")
                awaitStopped(stopped)
            }
        }

        // A connection that waits to be accepted when the listener closes is reset. Those after it are refused.
        private fun awaitRefused() =
            await {
                scheduler.runCurrent()
                runCatching { Socket(LISTENER_HOST, port).close() }.exceptionOrNull() is ConnectException
            }
    }

    /** Keeps what is written until it [accepts] it, and then sends all of it in one write, as the socket of a caller that reads slowly. */
    private class SlowSocket : ChannelOutboundHandlerAdapter() {
        private val pending = ArrayList<Pair<Any, ChannelPromise>>()
        val sent = ArrayList<Any>()
        var accepts = false

        override fun write(
            context: ChannelHandlerContext,
            message: Any,
            promise: ChannelPromise,
        ) {
            pending += message to promise
        }

        override fun flush(context: ChannelHandlerContext) {
            if (!accepts) return
            val written = pending.toList()
            pending.clear()
            written.mapTo(sent) { it.first }
            written.forEach { it.second.trySuccess() }
        }
    }

    private fun chunkedUpload(body: String) = "POST /upload HTTP/1.1\r\nHost: h\r\n${CLOSE}Transfer-Encoding: chunked\r\n\r\n$body"

    private fun open(request: String) =
        Socket(LISTENER_HOST, port).apply {
            soTimeout = READ_TIMEOUT_MS
            send(request)
        }

    private fun Socket.send(text: String) = getOutputStream().write(text.encodeToByteArray())

    /** Sends [request] and returns all bytes up to the end of the connection. */
    private fun exchange(request: String): String = open(request).use { it.readToEnd() }

    private fun Socket.readToEnd(): String {
        val received = StringBuilder()
        try {
            while (true) received.append(getInputStream().read().takeIf { it >= 0 }?.toChar() ?: break)
        } catch (failure: IOException) {
            if (failure is SocketTimeoutException) throw failure
        }
        return received.toString()
    }

    private fun InputStream.readUntil(end: String): String =
        buildString { while (!endsWith(end)) append(read().also { if (it < 0) throw IOException("closed before $end") }.toChar()) }

    private fun await(signal: CompletableDeferred<Unit>) = runBlocking { withTimeout(READ_TIMEOUT_MS.toLong()) { signal.await() } }

    private fun await(condition: () -> Boolean) =
        runBlocking { withTimeout(READ_TIMEOUT_MS.toLong()) { while (!condition()) delay(POLL_INTERVAL_MS) } }

    private companion object {
        private const val CLOSE = "Connection: close\r\n"
        private const val IDLE_TIMEOUT_S = 1L
        private const val LONG_IDLE_TIMEOUT_MS = 600_000L

        // What Netty's test channel returns if nothing is scheduled.
        private const val NO_SCHEDULED_TASK = -1L
        private const val READ_TIMEOUT_MS = 60_000
        private const val POLL_INTERVAL_MS = 5L
        private const val GRACE_MS = 500L
        private const val LINGER_MS = 5_000L
        private const val PART_BYTES = 65_536

        // More than the buffers of both sockets hold.
        private const val LARGE_BYTES = 64L * 1_048_576
    }
}
