package org.lycheemount.caller

import io.ktor.server.application.ApplicationCall
import io.ktor.server.netty.NettyApplicationCall
import io.ktor.server.response.ApplicationSendPipeline
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.supervisorScope
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.lycheemount.backend.ResponseHead
import org.lycheemount.listener.createCallerServer
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** [ResponseWriter] over real sockets, with work that is cancelled at a chosen moment. */
internal class ResponseWriterTest {
    @Volatile
    private var respond: suspend (ApplicationCall, ResponseWriter) -> Unit = { _, _ -> }

    @Volatile
    private var onHead: () -> Unit = {}
    private val server =
        createCallerServer("127.0.0.1", port = 0) {
            sendPipeline.intercept(ApplicationSendPipeline.After) { onHead() }
            routing { get("/") { withContext(Dispatchers.Default) { respond(call, ResponseWriter(call)) } } }
        }.apply { start() }
    private val head = ResponseHead(200, listOf("Content-Type" to "text/event-stream"))

    @AfterEach
    fun close() = runBlocking { server.stop(graceMs = 0, lingerMs = 0) }

    /** Sends a request and returns all bytes up to the end of the connection. */
    private fun exchange(connection: String = "close"): String =
        Socket("127.0.0.1", runBlocking { server.port() }).use {
            it.soTimeout = READ_TIMEOUT_MS
            it.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\nConnection: $connection\r\n\r\n".encodeToByteArray())
            it.getInputStream().readAllBytes().decodeToString()
        }

    /** Runs [work] as a job of its own, which may be cancelled, and then [afterwards]. */
    private suspend fun runCancellable(
        afterwards: () -> Unit = {},
        work: suspend (Job) -> Unit,
    ) = supervisorScope {
        val job = launch { work(currentCoroutineContext().job) }
        job.join()
        afterwards()
        if (job.isCancelled) throw CancellationException("the work was cancelled")
    }

    /** Keeps the thread of the connection busy until [released]. */
    private fun holdConnection(
        call: ApplicationCall,
        released: CountDownLatch,
    ) {
        val isHeld = CountDownLatch(1)
        ((call as RoutingCall).pipelineCall.engineCall as NettyApplicationCall).context.executor().execute {
            isHeld.countDown()
            released.await(READ_TIMEOUT_MS.toLong(), TimeUnit.MILLISECONDS)
        }
        assertTrue(isHeld.await(READ_TIMEOUT_MS.toLong(), TimeUnit.MILLISECONDS))
    }

    private suspend fun ByteWriteChannel.event(id: Int) {
        writeFully("id: $id\n\n".encodeToByteArray())
        flush()
    }

    private fun body(response: String) = response.substringAfter("\r\n\r\n")

    @Nested
    inner class `a response that is cancelled before its body begins` {
        /** Cancels the work when the head is about to be sent. */
        private fun exchangeCancelled(
            connection: String = "close",
            write: suspend (ResponseWriter) -> Unit,
        ): String {
            respond = { _, writer ->
                runCancellable { job ->
                    onHead = { job.cancel() }
                    write(writer)
                }
            }
            return exchange(connection)
        }

        @Test
        fun `is closed without its end, guarding against an empty stream that looks complete`() {
            val response = exchangeCancelled { it.writeStream(head) { channel -> channel.event(1) } }

            assertFalse(response.endsWith(LAST_CHUNK), response)
        }

        @Test
        fun `is closed if it has a length, guarding against the next response in place of its body`() {
            val response = exchangeCancelled(connection = "keep-alive") { it.writeComplete(head, "whole".encodeToByteArray()) }

            assertEquals("", body(response), response)
        }
    }

    @Nested
    inner class `a response whose work is cancelled when its body has been written` {
        @Test
        fun `is closed without its end if a part was not sent, guarding against a stream that looks complete before its last event`() {
            val released = CountDownLatch(1)
            respond = { call, writer ->
                runCancellable(afterwards = { released.countDown() }) { job ->
                    writer.writeStream(head) { channel ->
                        channel.event(1)
                        holdConnection(call, released)
                        channel.event(2)
                        job.cancel()
                    }
                }
            }

            val response = exchange()

            assertTrue(response.startsWith("HTTP/1.1 200"), response)
            assertFalse(response.endsWith(LAST_CHUNK) && "id: 2" !in response, response)
        }
    }

    @Nested
    inner class `a response whose work ends` {
        @Test
        fun `with an error is closed without its end, guarding against a stream that looks complete where memory ran out`() {
            respond = { _, writer ->
                writer.writeStream(head) { channel ->
                    channel.event(1)
                    throw OutOfMemoryError("simulated")
                }
            }

            val response = exchange()

            assertTrue(response.startsWith("HTTP/1.1 200"), response)
            assertFalse(response.endsWith(LAST_CHUNK), response)
        }

        @Test
        fun `as it should has its end, and the connection is kept`() {
            respond = { _, writer -> writer.writeStream(head) { channel -> channel.event(1) } }

            val received = StringBuilder()
            Socket("127.0.0.1", runBlocking { server.port() }).use { socket ->
                socket.soTimeout = READ_TIMEOUT_MS
                repeat(2) {
                    socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".encodeToByteArray())
                    received.clear()
                    while (!received.endsWith(LAST_CHUNK)) received.append(socket.getInputStream().read().toChar())
                }
            }

            assertTrue("id: 1" in received, received.toString())
        }
    }

    @Nested
    inner class `a response without a body` {
        @Test
        fun `keeps its connection, guarding against callers whose next request is reset`() {
            respond = { _, writer -> writer.writeComplete(ResponseHead(200, listOf("X-Id" to "r")), ByteArray(0)) }

            Socket("127.0.0.1", runBlocking { server.port() }).use { socket ->
                socket.soTimeout = READ_TIMEOUT_MS
                repeat(EMPTY_RESPONSES) {
                    socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".encodeToByteArray())
                    val received = StringBuilder()
                    while (!received.endsWith("\r\n\r\n")) {
                        val byte = socket.getInputStream().read()
                        assertTrue(byte >= 0, "the connection was closed after $it responses: $received")
                        received.append(byte.toChar())
                    }
                    assertTrue(received.startsWith("HTTP/1.1 200"), received.toString())
                }
            }
        }
    }

    private companion object {
        private const val EMPTY_RESPONSES = 50
        private const val READ_TIMEOUT_MS = 60_000
        private const val LAST_CHUNK = "0\r\n\r\n"
    }
}
