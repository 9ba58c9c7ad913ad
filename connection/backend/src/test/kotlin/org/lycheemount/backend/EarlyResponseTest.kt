package org.lycheemount.backend

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Timeout
import org.lycheemount.common.BackendServer
import org.lycheemount.testing.SocketServer
import java.io.IOException
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Servers that respond before they have read the whole request. */
@Timeout(60)
class EarlyResponseTest {
    private val http = BackendHttp()
    private val client = DefaultPassThroughClient(http)
    private val upload = ByteArray(UPLOAD_BYTES) { (it % 251).toByte() }
    private var server: SocketServer? = null

    @AfterEach
    fun close() {
        http.close()
        server?.close()
    }

    private fun serve(script: SocketServer.Connection.() -> Unit) = SocketServer(script).also { server = it }.describe()

    /** Reads [count] bytes, or those up to the end of the connection. */
    private fun SocketServer.Connection.readBody(count: Int): ByteArray = input.readNBytes(count)

    private suspend fun exchange(
        server: BackendServer,
        body: ByteArray = upload,
    ): PassThroughOutcome<String> =
        client.exchange(server, PassThroughCall("POST", "/", emptyList(), body)) { response ->
            try {
                response.body.readUpTo(UPLOAD_BYTES).decodeToString()
            } catch (failure: IOException) {
                TRUNCATED
            }
        }

    @Nested
    inner class `a response to a request that is still being sent` {
        /** Uploads to a server that responds with [response] and resets the connection after a part of each upload, a new one each time. */
        private fun exchangeWithResets(response: String): List<PassThroughOutcome<String>> {
            val readBytes = ArrayBlockingQueue<Int>(RESETS).apply { repeat(RESETS) { add(it * UPLOAD_BYTES / RESETS / 2) } }
            val server =
                serve {
                    readHead()
                    write(response)
                    readBody(readBytes.take())
                    reset()
                }
            return runBlocking { List(RESETS) { exchange(server) } }
        }

        @Test
        fun `that has no length and is reset is truncated, guarding against a part that looks complete`() {
            val outcomes = exchangeWithResets("HTTP/1.1 200 OK\r\n\r\npart")

            assertEquals(setOf<PassThroughOutcome<String>>(PassThroughOutcome.Completed(TRUNCATED)), outcomes.toSet())
        }

        @Test
        fun `that has a length and has arrived is passed on although the connection is reset`() {
            val outcomes = exchangeWithResets("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")

            assertEquals(setOf<PassThroughOutcome<String>>(PassThroughOutcome.Completed("whole")), outcomes.toSet())
        }

        @Test
        fun `that comes in chunks and has arrived is passed on although the connection is reset`() {
            val outcomes = exchangeWithResets("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")

            assertEquals(setOf<PassThroughOutcome<String>>(PassThroughOutcome.Completed("whole")), outcomes.toSet())
        }

        @Test
        fun `that has no length and ends in order is complete once the server has read the request`() {
            val received = CompletableFuture<ByteArray>()
            val server =
                serve {
                    readHead()
                    write("HTTP/1.1 200 OK\r\n\r\nwhole")
                    endResponse()
                    received.complete(readBody(UPLOAD_BYTES))
                }

            val outcome = runBlocking { exchange(server) }

            assertEquals(PassThroughOutcome.Completed("whole"), outcome)
            assertContentEquals(upload, received.get(TIMEOUT_S, TimeUnit.SECONDS))
        }

        @Test
        fun `closes the connection, guarding against a next request in place of the rest of the body`() {
            val mayReadOn = CountDownLatch(1)
            val rest = CompletableFuture<ByteArray>()
            val server =
                serve {
                    val head = readHead()
                    write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly")
                    if (head?.contains("Content-Length: $UPLOAD_BYTES") == true) {
                        mayReadOn.await(TIMEOUT_S, TimeUnit.SECONDS)
                        rest.complete(runCatching { readBody(Int.MAX_VALUE) }.getOrDefault(ByteArray(0)))
                    }
                }

            val outcomes = runBlocking { listOf(exchange(server), exchange(server, ByteArray(1))) }
            mayReadOn.countDown()

            assertEquals(List<PassThroughOutcome<String>>(2) { PassThroughOutcome.Completed("early") }, outcomes)
            assertEquals(2, this@EarlyResponseTest.server?.connectionCount?.get())
            val received = rest.get(TIMEOUT_S, TimeUnit.SECONDS)
            assertContentEquals(upload.copyOf(received.size), received)
            assertTrue(received.size < UPLOAD_BYTES)
        }
    }

    @Nested
    inner class `a request that is cancelled while it is being sent` {
        @Test
        fun `closes the connection, which makes the server drop it`() {
            val isStarted = CountDownLatch(1)
            val isCancelled = CountDownLatch(1)
            val receivedBytes = CompletableFuture<Int>()
            val server =
                serve {
                    readHead()
                    isStarted.countDown()
                    isCancelled.await(TIMEOUT_S, TimeUnit.SECONDS)
                    var count = 0
                    runCatching { while (input.read() >= 0) count++ }
                    receivedBytes.complete(count)
                }

            runBlocking {
                val exchange = async { exchange(server, ByteArray(HUGE_BYTES)) }
                withContext(Dispatchers.IO) { isStarted.await(TIMEOUT_S, TimeUnit.SECONDS) }
                exchange.cancelAndJoin()
            }
            isCancelled.countDown()

            assertTrue(receivedBytes.get(TIMEOUT_S, TimeUnit.SECONDS) < HUGE_BYTES)
        }
    }

    private companion object {
        private const val RESETS = 100

        // More than the buffers of both sockets hold.
        private const val UPLOAD_BYTES = 16_777_216
        private const val HUGE_BYTES = 67_108_864
        private const val TIMEOUT_S = 20L
        private const val TRUNCATED = "truncated"
    }
}
