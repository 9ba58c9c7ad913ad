package org.lycheemount.backend

import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.ModelId
import org.lycheemount.common.RequestId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class ReusedEngineConnectionTest {
    private val listener = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val responses = LinkedBlockingQueue<String>()
    private val connectionCount = AtomicInteger()
    private val http = BackendHttp()
    private val client = DefaultModelEngineClient(http)
    private val server =
        BackendServer(BackendServerId("i-1"), VmId("v-1"), ZoneId("z"), "127.0.0.1", listener.localPort, targets = emptySet())

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                connectionCount.incrementAndGet()
                thread(isDaemon = true) { socket.use { runCatching { serve(it) } } }
            }
        }
    }

    @AfterEach
    fun close() {
        http.close()
        listener.close()
    }

    /** Sends the next response to each request. */
    private fun serve(socket: Socket) {
        val reader = socket.getInputStream().bufferedReader()
        while (true) {
            val headers = generateSequence { reader.readLine() }.takeWhile { it.isNotEmpty() }.toList()
            val length = headers.firstOrNull { it.startsWith("Content-Length: ") }?.substringAfter(": ")?.toInt() ?: return
            repeat(length) { reader.read() }
            socket.getOutputStream().write(responses.take().encodeToByteArray())
        }
    }

    private fun completion(id: String): String {
        val line = Json.encodeToString(EngineChunk(RequestId(id), 0, finishReason = "stop")) + "\n"
        return "HTTP/1.1 200 OK\r\nContent-Length: ${line.length}\r\n\r\n$line"
    }

    private fun refusal(vararg headers: String) =
        (listOf("HTTP/1.1 503 Service Unavailable", "$REFUSED_HEADER: $REFUSED_BUSY", "Content-Length: 0") + headers)
            .joinToString("\r\n", postfix = "\r\n\r\n")

    private fun generate(id: String): GenerateEvent =
        runBlocking { client.generate(server, GenerateRequest(RequestId(id), ModelId("m"), "p", 1, emptyList(), 8, 0, 0)).toList().last() }

    @Nested
    inner class `a refusal on a reused connection` {
        private fun generateAfterCompletion(response: String): GenerateEvent {
            responses += completion("a")
            assertIs<GenerateEvent.Finished>(generate("a"))
            responses += response
            return generate("b").also { assertEquals(1, connectionCount.get()) }
        }

        @Test
        fun `without the request's id may be an earlier one, guarding against a generation that runs and is reported as not run`() {
            assertEquals(GenerateEvent.Failed(AttemptFailure.BROKEN_CONNECTION), generateAfterCompletion(refusal()))
        }

        @Test
        fun `with the id of an earlier request leaves the outcome unknown`() {
            val late = refusal("${DefaultPlainServiceClient.REQUEST_ID_HEADER}: a")

            assertEquals(GenerateEvent.Failed(AttemptFailure.BROKEN_CONNECTION), generateAfterCompletion(late))
        }

        @Test
        fun `with the request's id shows that the request did not run`() {
            val own = refusal("${DefaultPlainServiceClient.REQUEST_ID_HEADER}: b")

            assertEquals(GenerateEvent.Failed(AttemptFailure.REFUSED_BUSY), generateAfterCompletion(own))
        }
    }

    @Nested
    inner class `a refusal on a new connection` {
        @Test
        fun `needs no id`() {
            responses += refusal()

            assertEquals(GenerateEvent.Failed(AttemptFailure.REFUSED_BUSY), generate("a"))
        }
    }
}
