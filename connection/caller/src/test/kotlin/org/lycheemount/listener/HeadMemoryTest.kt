package org.lycheemount.listener

import io.ktor.server.application.Application
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import io.ktor.utils.io.readRemaining
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.runBlocking
import kotlinx.io.readByteArray
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.lycheemount.common.MemoryBudget
import java.io.IOException
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Number of fields and memory of heads, over real sockets. */
class HeadMemoryTest {
    private val refusals = ConcurrentLinkedQueue<ConnectionRefusal>()
    private val budget = MemoryBudget(CAPACITY_BYTES)
    private val server =
        createCallerServer("127.0.0.1", port = 0, memory = budget, limits = ::limits, onRefused = refusals::add) {
            module()
        }.apply { start() }
    private val port = runBlocking { server.port() }

    private fun limits() = ConnectionLimits(maxHeaderFields = MAX_FIELDS, headerTimeoutMs = HEADER_TIMEOUT_MS)

    private fun Application.module() =
        routing {
            get("/ping") { call.respondText("pong ${budget.usage.usedBytes}") }
            post("/upload") {
                call.receiveChannel().readRemaining().readByteArray()
                call.respondText(if (call.callerConnection?.hasBrokenBody == true) "broken" else "whole")
            }
        }

    @AfterEach
    fun stop() = runBlocking { server.stop(graceMs = 0, lingerMs = 0) }

    @Nested
    inner class `the fields of a head` {
        @Test
        fun `are served up to the limit`() {
            assertContains(exchange("GET /ping HTTP/1.1\r\n${fields(MAX_FIELDS - 2)}$END"), "pong")
        }

        @Test
        fun `are refused beyond it, guarding against objects that the limit in bytes does not count`() {
            val response = exchange("GET /ping HTTP/1.1\r\n${fields(MAX_FIELDS - 1)}$END")

            assertTrue(response.startsWith("HTTP/1.1 431"), response)
            assertEquals(listOf(ConnectionRefusal.HEAD_TOO_LARGE), refusals.toList())
        }

        @Test
        fun `are refused before the head is complete, guarding against heads that do not end`() {
            val response = exchange("GET /ping HTTP/1.1\r\n${fields(2 * MAX_FIELDS)}")

            assertTrue(response.startsWith("HTTP/1.1 431"), response)
        }

        @Test
        fun `are bounded in trailers as well`() {
            val head = "POST /upload HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"

            assertContains(exchange("${head}1\r\nx\r\n0\r\n${fields(MAX_FIELDS + 1)}\r\n"), "broken")
        }
    }

    @Nested
    inner class `the framing of a body` {
        private val head = "HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"

        private fun Socket.send(text: String) = getOutputStream().write(text.encodeToByteArray())

        @Test
        fun `is charged while it is incomplete, guarding against chunk extensions that fill the heap together`() {
            Socket("127.0.0.1", port).use {
                it.send("POST /upload ${head}1;x=")
                await { budget.usage.usedBytes > 0 }
                it.send("x".repeat(EXTENSION_BYTES))

                await { budget.usage.usedBytes >= RequestMemory.REQUEST_BYTES + EXTENSION_BYTES }
            }

            await { budget.usage.usedBytes == 0L }
        }

        @Test
        fun `costs nothing for trailers, guarding against incomplete ones that fill the heap together`() {
            val channel = EmbeddedChannel(SingleMessageCodec(MAX_HEAD_BYTES, MAX_HEAD_BYTES))
            val upload = "POST /upload ${head}0\r\n${fields(MAX_FIELDS)}\r\n"

            channel.writeInbound(Unpooled.copiedBuffer(upload, Charsets.US_ASCII))
            channel.writeInbound(Unpooled.EMPTY_BUFFER)

            channel.readInbound<HttpRequest>()
            val trailers = channel.readInbound<LastHttpContent>().trailingHeaders()
            assertEquals(MAX_FIELDS, trailers.size())
            assertEquals(emptyList(), trailers.entries())
            channel.finishAndReleaseAll()
        }

        @Test
        fun `is refused behind the response to its request, guarding against connections whose rest no request is charged for`() {
            Socket("127.0.0.1", port).use {
                it.soTimeout = READ_TIMEOUT_MS
                it.send("POST /unknown ${head}1;x=")
                await { server.openConnections == 1 && budget.usage.usedBytes == 0L }
                runCatching { repeat(MAX_HEAD_BYTES) { _ -> it.send("x") } }

                await { server.openConnections == 0 }
            }

            assertEquals(listOf(ConnectionRefusal.DROPPED_BODY_TOO_LARGE), refusals.toList())
        }
    }

    @Nested
    inner class `the memory of a head` {
        @Test
        fun `is charged while its request is in progress, and given back with the response`() {
            val response = exchange("GET /ping HTTP/1.1\r\n${fields(MAX_FIELDS - 2)}$END")
            val chargedBytes = response.substringAfter("pong ").trim().toLong()

            assertTrue(chargedBytes >= RequestMemory.REQUEST_BYTES + MAX_FIELDS * RequestMemory.FIELD_BYTES, response)
            await { budget.usage.usedBytes == 0L }
        }

        @Test
        fun `is charged while the head is incomplete, and given back when the connection closes`() {
            Socket("127.0.0.1", port).use {
                it.getOutputStream().write("GET /ping HTTP/1.1\r\n${fields(10)}".encodeToByteArray())
                await { budget.usage.usedBytes >= 10 * RequestMemory.FIELD_BYTES }
            }

            await { budget.usage.usedBytes == 0L }
        }

        @Test
        fun `is refused as not run if others need it, guarding against heads that fill the heap together`() {
            val others = budget.open(0).also { it.tryTake(CAPACITY_BYTES) }
            others.complete()

            val response = exchange("GET /ping HTTP/1.1\r\n${fields(10)}")

            assertTrue(response.startsWith("HTTP/1.1 503"), response)
            assertContains(response, "Retry-After: 1")
            assertEquals(listOf(ConnectionRefusal.MEMORY_EXHAUSTED), refusals.toList())
        }

        // The codec alone, as the heap of a server also holds what the connection costs.
        @Test
        fun `is at least what its objects take in the heap, guarding against a budget that counts only bytes`() {
            val memory = MemoryBudget(Long.MAX_VALUE)
            val heads = ArrayList<HttpRequest>(HEADS)
            val beforeBytes = usedHeapBytes()
            repeat(HEADS) { heads += decode("GET /ping HTTP/1.1\r\n${fields(MAX_FIELDS)}$END") }
            val perHeadBytes = (usedHeapBytes() - beforeBytes) / HEADS
            heads.forEach { RequestMemory(memory).onHead(it) }
            val chargedBytes = memory.usage.usedBytes / heads.size
            println("a head of $MAX_FIELDS fields takes $perHeadBytes bytes of heap, $chargedBytes are charged")

            assertTrue(chargedBytes >= perHeadBytes, "$perHeadBytes bytes of heap, $chargedBytes charged")
        }

        private fun decode(head: String): HttpRequest {
            val channel = EmbeddedChannel(SingleMessageCodec(MAX_HEAD_BYTES, MAX_HEAD_BYTES))
            channel.writeInbound(Unpooled.copiedBuffer(head, Charsets.US_ASCII))
            return channel.readInbound<HttpRequest>().also { channel.finishAndReleaseAll() }
        }

        private fun usedHeapBytes(): Long {
            repeat(COLLECTIONS) { System.gc() }
            return Runtime.getRuntime().run { totalMemory() - freeMemory() }
        }
    }

    private fun fields(count: Int) = "a:\r\n".repeat(count)

    /** Sends [request] and returns all bytes up to the end of the connection. */
    private fun exchange(request: String): String =
        Socket("127.0.0.1", port).use {
            it.soTimeout = READ_TIMEOUT_MS
            it.getOutputStream().write(request.encodeToByteArray())
            val received = StringBuilder()
            try {
                while (true) {
                    received.append(
                        it
                            .getInputStream()
                            .read()
                            .takeIf { byte -> byte >= 0 }
                            ?.toChar() ?: break,
                    )
                }
            } catch (reset: IOException) {
                // The connection may be reset behind the response.
                received.append("")
            }
            received.toString()
        }

    private fun await(condition: () -> Boolean) {
        val deadlineNs = System.nanoTime() + READ_TIMEOUT_MS * NS_PER_MS
        while (!condition()) {
            assertTrue(System.nanoTime() < deadlineNs, "timed out")
            Thread.sleep(POLL_MS)
        }
    }

    private companion object {
        private const val CAPACITY_BYTES = 1_000_000L
        private const val MAX_FIELDS = 100
        private const val MAX_HEAD_BYTES = 16_384
        private const val EXTENSION_BYTES = 10_000
        private const val HEADER_TIMEOUT_MS = 60_000L
        private const val HEADS = 2_000
        private const val COLLECTIONS = 3
        private const val READ_TIMEOUT_MS = 60_000
        private const val NS_PER_MS = 1_000_000L
        private const val POLL_MS = 5L

        /** The last two fields of a head. */
        private const val END = "Host: h\r\nConnection: close\r\n\r\n"
    }
}
