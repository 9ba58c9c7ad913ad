package org.lycheemount.caller

import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.lycheemount.backend.ResponseHead
import org.lycheemount.common.DefaultClock
import org.lycheemount.common.MemoryAccount
import org.lycheemount.common.MemoryBudget
import org.lycheemount.listener.ConnectionRefusal
import org.lycheemount.listener.createCallerServer
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Responses over real sockets to callers that do not read, or read late. */
internal class UnreadResponseTest {
    private val clock = DefaultClock()
    private val budget = MemoryBudget(CAPACITY_BYTES)
    private val refusals = ConcurrentLinkedQueue<ConnectionRefusal>()
    private val writtenBytes = AtomicLong()
    private val head = ResponseHead(200, listOf("Content-Type" to "text/plain"))
    private val refusalHead = ResponseHead(404, listOf("Content-Type" to "text/plain"))
    private val server =
        createCallerServer("127.0.0.1", port = 0, memory = budget, onRefused = refusals::add) {
            routing {
                cancelOnDisconnect {
                    get("/endless") { respond { it.writeStream(head) { channel -> while (true) channel.writePart() } } }
                    get("/large") { respond { it.writeComplete(head, ByteArray(LARGE_BYTES)) } }
                    get("/refused") { ResponseWriter(call).writeComplete(refusalHead, ByteArray(REFUSAL_BYTES)) }
                    get("/small") { respond { it.writeComplete(head, ByteArray(SMALL_BYTES)) } }
                    get("/dropped") {
                        drop(call.openMemory(budget, clock))
                        respond { it.writeComplete(head, ByteArray(REFUSAL_BYTES)) }
                    }
                }
            }
        }.apply { start() }

    private suspend fun io.ktor.server.routing.RoutingContext.respond(write: suspend (ResponseWriter) -> Unit) {
        val memory = call.openMemory(budget, clock)
        try {
            memory.complete()
            val writer = ResponseWriter(call).also { it.memory = ResponseMemory(memory, clock) }
            withContext(Dispatchers.Default) { write(writer) }
        } finally {
            memory.release()
        }
    }

    /** Lets [memory] be dropped, as the last one of a request whose memory is needed for others, and releases it. */
    private fun drop(memory: MemoryAccount) {
        val other = budget.open(clock.monotonicMs()).apply { charge(1, clock.monotonicMs()) }
        memory.charge(CAPACITY_BYTES, clock.monotonicMs())
        check(memory.isDropped)
        memory.giveBack(CAPACITY_BYTES)
        memory.release()
        other.release()
    }

    private suspend fun io.ktor.utils.io.ByteWriteChannel.writePart() {
        writeFully(ByteArray(PART_BYTES))
        flush()
        writtenBytes.addAndGet(PART_BYTES.toLong())
    }

    @AfterEach
    fun stop() = runBlocking { server.stop(graceMs = 0, lingerMs = 0) }

    private fun request(
        path: String,
        connection: String = "close",
    ) = Socket().apply {
        receiveBufferSize = RECEIVE_BUFFER_BYTES
        connect(java.net.InetSocketAddress("127.0.0.1", runBlocking { server.port() }))
        soTimeout = READ_TIMEOUT_MS
        getOutputStream().write("GET $path HTTP/1.1\r\nHost: h\r\nConnection: $connection\r\n\r\n".encodeToByteArray())
    }

    @Nested
    inner class `a response that its caller does not read` {
        @Test
        fun `is charged and not written on, guarding against bodies without end that fill the heap`() {
            request("/endless").use {
                awaitWrittenPart()
                Thread.sleep(QUIET_MS)

                assertTrue(writtenBytes.get() < SOCKET_BUFFERS_BYTES, "$writtenBytes bytes written")
                assertTrue(budget.usage.usedBytes >= PacedChannel.MAX_UNSENT_BYTES, "${budget.usage}")
            }
            await { budget.usage.usedBytes == 0L }
        }

        @Test
        fun `is charged until it is sent although its handler has ended, guarding against small responses that add up`() {
            val sockets = List(FEW) { request("/small") }
            await { budget.usage.usedBytes > 0 }
            sockets.forEach { it.getInputStream().readAllBytes() }

            await { budget.usage.usedBytes == 0L }
            sockets.forEach { it.close() }
        }

        @Test
        fun `is closed with its connection if others need the memory, guarding against ordinary callers that are shut out`() {
            request("/endless").use { socket ->
                awaitWrittenPart()
                await { budget.usage.usedBytes >= PacedChannel.MAX_UNSENT_BYTES }
                Thread.sleep(MemoryBudget.MIN_STALL_MS + QUIET_MS)
                budget.open(clock.monotonicMs()).charge(CAPACITY_BYTES, clock.monotonicMs())

                await { refusals.toList() == listOf(ConnectionRefusal.UNREAD_RESPONSE) }
                runCatching { socket.getInputStream().readAllBytes() }
            }
        }
    }

    @Nested
    inner class `a response to a request whose memory is needed for others` {
        @Test
        fun `arrives whole if it is small, guarding against refusals that are lost`() {
            val sizes =
                List(MANY) {
                    request("/dropped").use { socket -> bodyBytes(socket.getInputStream().readAllBytes()) }
                }

            assertEquals(List(MANY) { REFUSAL_BYTES }, sizes)
        }
    }

    @Nested
    inner class `refusals that are written before the handler opens the memory of their request` {
        @Test
        fun `close with their connection too, guarding against callers without a key that read none of them`() {
            request("/refused", connection = "keep-alive").use { socket ->
                val requests = "GET /refused HTTP/1.1\r\nHost: h\r\n\r\n".repeat(AHEAD).encodeToByteArray()
                thread(isDaemon = true) { runCatching { while (true) socket.getOutputStream().write(requests) } }

                await {
                    val other = budget.open(clock.monotonicMs())
                    other.charge(CAPACITY_BYTES, clock.monotonicMs())
                    other.release()
                    refusals.isNotEmpty()
                }
                await { server.openConnections == 0 && budget.usage.usedBytes == 0L }

                assertEquals(listOf(ConnectionRefusal.UNREAD_RESPONSE), refusals.toList())
            }
        }
    }

    @Nested
    inner class `a response that its caller reads` {
        @Test
        fun `arrives whole although the caller reads late`() {
            request("/large").use {
                Thread.sleep(QUIET_MS)
                assertEquals(LARGE_BYTES, bodyBytes(it.getInputStream().readAllBytes()))
            }
            await { budget.usage.usedBytes == 0L }
        }
    }

    /** Size of the body of [response]; negative if the head is not complete. */
    private fun bodyBytes(response: ByteArray): Int {
        val headBytes = response.decodeToString().indexOf("\r\n\r\n")
        return if (headBytes < 0) -1 else response.size - headBytes - HEAD_END_BYTES
    }

    private fun awaitWrittenPart() = await { writtenBytes.get() > 0 }

    private fun await(condition: () -> Boolean) {
        val deadlineNs = System.nanoTime() + READ_TIMEOUT_MS * NS_PER_MS
        while (!condition()) {
            assertTrue(System.nanoTime() < deadlineNs, "timed out: ${budget.usage}, $refusals")
            Thread.sleep(POLL_MS)
        }
    }

    private companion object {
        private const val CAPACITY_BYTES = 10_000_000L
        private const val LARGE_BYTES = 1_000_000
        private const val SMALL_BYTES = 60_000
        private const val PART_BYTES = 8_192
        private const val REFUSAL_BYTES = 100
        private const val AHEAD = 100
        private const val FEW = 5
        private const val MANY = 50
        private const val RECEIVE_BUFFER_BYTES = 8_192
        private const val READ_TIMEOUT_MS = 30_000
        private const val QUIET_MS = 500L
        private const val POLL_MS = 5L
        private const val NS_PER_MS = 1_000_000L
        private const val HEAD_END_BYTES = 4

        // Send buffer of the connection, output buffer, and what waits for them.
        private const val SOCKET_BUFFERS_BYTES = 1_000_000
    }
}
