package org.lycheemount.caller

import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.junit.jupiter.api.AfterEach
import org.lycheemount.common.DefaultClock
import org.lycheemount.common.MemoryBudget
import org.lycheemount.common.StateDumpSource
import org.lycheemount.listener.ConnectionRefusal
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Responses of [CallerApi] over real sockets to callers that do not read, or read late. */
internal class UnreadCallerApiResponseTest {
    private val clock = DefaultClock()
    private val budget = MemoryBudget(CAPACITY_BYTES)
    private val refusals = ConcurrentLinkedQueue<ConnectionRefusal>()
    private val chunksSent = AtomicInteger()
    private val engine = ScriptedEngine("e1") { CountedChunks() }
    private val router = RouterFixture(memory = budget, stateSources = listOf(LargeState()), onRefused = refusals::add)

    init {
        engine.serviceResponse = "x".repeat(LARGE_BYTES)
        router.setBackendServers(engine)
    }

    @AfterEach
    fun stop() = listOf(router, engine).forEach { it.close() }

    @Test
    fun `a service response that its caller does not read is charged as a whole`() = assertCharged(SERVICE_REQUEST)

    @Test
    fun `a state dump that its caller does not read is charged as a whole`() = assertCharged(STATE_REQUEST)

    @Test
    fun `an unread response is closed with its connection if others need the memory`() {
        open(STATE_REQUEST).use {
            await { budget.usage.usedBytes >= UNREAD_BYTES }
            Thread.sleep(MemoryBudget.MIN_STALL_MS + QUIET_MS)
            budget.open(clock.monotonicMs()).charge(CAPACITY_BYTES, clock.monotonicMs())

            await { refusals.toList() == listOf(ConnectionRefusal.UNREAD_RESPONSE) }
        }
    }

    @Test
    fun `a response that its caller reads late arrives whole`() {
        for (request in listOf(SERVICE_REQUEST, STATE_REQUEST)) {
            open(request).use {
                Thread.sleep(QUIET_MS)
                val body =
                    it
                        .getInputStream()
                        .readAllBytes()
                        .decodeToString()
                        .substringAfter(END_OF_HEAD)

                assertEquals(LARGE_BYTES, body.count { character -> character == 'x' })
            }
        }
        await { budget.usage.usedBytes == 0L }
    }

    @Test
    fun `a chat stream that its caller does not read stops the engine`() {
        open(CHAT_REQUEST).use {
            await { chunksSent.get() > 0 }
            awaitQuiet()

            assertTrue(chunksSent.get() < MAX_CHUNKS, "$chunksSent chunks of $CHUNK_COUNT sent, ${budget.usage}")
            assertTrue(budget.usage.usedBytes >= UNREAD_BYTES, "${budget.usage}")
        }
    }

    private fun assertCharged(request: String) {
        val sockets = List(FEW) { open(request) }
        await { budget.usage.usedBytes >= FEW * LARGE_BYTES }

        sockets.forEach { it.close() }
        await { budget.usage.usedBytes == 0L }
    }

    private fun open(request: String) =
        Socket().apply {
            receiveBufferSize = RECEIVE_BUFFER_BYTES
            connect(InetSocketAddress("127.0.0.1", runBlocking { router.port() }))
            soTimeout = TIMEOUT_MS
            getOutputStream().write(request.encodeToByteArray())
        }

    /** Waits until the engine has sent nothing for a while. */
    private fun awaitQuiet() {
        var last = -1
        while (last != chunksSent.get()) {
            last = chunksSent.get()
            Thread.sleep(QUIET_MS)
        }
    }

    private fun await(condition: () -> Boolean) {
        val deadlineNs = System.nanoTime() + TIMEOUT_MS * NS_PER_MS
        while (!condition()) {
            assertTrue(System.nanoTime() < deadlineNs, "timed out: ${budget.usage}, $refusals")
            Thread.sleep(POLL_MS)
        }
    }

    private inner class CountedChunks : AbstractList<ScriptStep>() {
        override val size = CHUNK_COUNT

        override fun get(index: Int): ScriptStep {
            chunksSent.accumulateAndGet(index, ::maxOf)
            return ScriptStep.Send(index * CHUNK_TOKENS, (index + 1) * CHUNK_TOKENS)
        }
    }

    private class LargeState : StateDumpSource {
        override val name = "large"

        override fun dumpState(): JsonObject = buildJsonObject { put("value", "x".repeat(LARGE_BYTES)) }
    }

    private companion object {
        private const val CAPACITY_BYTES = 10_000_000L
        private const val LARGE_BYTES = 1_000_000
        private const val UNREAD_BYTES = 65_536L
        private const val FEW = 5
        private const val CHUNK_TOKENS = 1_000

        // A chunk has about 10 KB, and the sockets to and from the router hold a few MB.
        private const val CHUNK_COUNT = 4_000
        private const val MAX_CHUNKS = 1_000
        private const val RECEIVE_BUFFER_BYTES = 8_192
        private const val TIMEOUT_MS = 30_000
        private const val QUIET_MS = 500L
        private const val POLL_MS = 5L
        private const val NS_PER_MS = 1_000_000L
        private const val END_OF_HEAD = "\r\n\r\n"
        private const val HEADERS = "Host: h\r\nAuthorization: Bearer key1\r\nConnection: close\r\n"
        private const val SERVICE_REQUEST = "GET /services/s1/x HTTP/1.1\r\n$HEADERS\r\n"
        private const val STATE_REQUEST = "GET /state HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        private const val CHAT_BODY =
            """{"model":"m1","stream":true,"max_tokens":4000000,"messages":[{"role":"user","content":"hello"}]}"""
        private const val CHAT_HEADERS = "${HEADERS}Content-Length: ${CHAT_BODY.length}\r\n"
        private const val CHAT_REQUEST = "POST /v1/chat/completions HTTP/1.1\r\n$CHAT_HEADERS\r\n$CHAT_BODY"
    }
}
