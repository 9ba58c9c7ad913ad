package org.lycheemount.platform.http

import io.ktor.http.HttpMethod
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.lycheemount.testing.LISTENER_HOST
import org.lycheemount.testing.SocketServer
import java.util.concurrent.LinkedBlockingQueue
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class PlatformHttpTest {
    private val responses = LinkedBlockingQueue<String>()

    @Volatile
    private var endsWithReset = false
    private val server =
        SocketServer {
            readHead()
            write(responses.take())
            if (endsWithReset) reset()
        }
    private val http = PlatformHttp(callTimeoutMs = 5_000)

    @AfterEach
    fun close() {
        http.close()
        server.close()
    }

    /** Sends a request to a server that sends [response] and closes the connection. Returns status and body, or null if they are lost. */
    private fun exchange(response: String): Pair<Int, String>? {
        responses += response
        return when (val exchange = runBlocking { http.exchange(HttpMethod.Get, "http://$LISTENER_HOST:${server.port}/objects/a") }) {
            is PlatformExchange.Response -> exchange.httpStatus to exchange.body.decodeToString()
            else -> null.also { assertIs<PlatformExchange.Lost>(exchange) }
        }
    }

    /** Guards against a part of a response that is taken for the whole one. */
    @Nested
    inner class `a response that is cut off` {
        private fun assertLostUpTo(
            response: String,
            lastByte: Int = response.length - 1,
        ) {
            val outcomes = (0..lastByte).associateWith { exchange(response.take(it)) }

            assertEquals(emptyMap(), outcomes.filterValues { it != null })
            assertEquals(200 to "body of two", exchange(response))
        }

        @Test
        fun `in chunks is lost at each byte, also at those of its last chunk`() =
            assertLostUpTo("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbody \r\n6\r\nof two\r\n0\r\n\r\n")

        @Test
        fun `with a length is lost at each byte`() = assertLostUpTo("HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nbody of two")

        @Test
        fun `without a length is lost at each byte of its head`() {
            val head = "HTTP/1.1 200 OK\r\nDate: now\r\n\r\n"

            assertLostUpTo(head + "body of two", lastByte = head.length - 1)
        }

        @Test
        fun `without a length is lost if the connection is reset`() {
            endsWithReset = true

            assertEquals(null, exchange("HTTP/1.1 200 OK\r\n\r\nbody"))
        }
    }

    @Nested
    inner class `a status` {
        @Test
        fun `outside 200 to 599 is a lost response`() {
            val outcomes =
                listOf("000", "042", "099", "101", "600", "999", "1000", "0200", "two").associateWith {
                    exchange("HTTP/1.1 $it Odd\r\nContent-Length: 4\r\n\r\nbody")
                }

            assertEquals(emptyMap(), outcomes.filterValues { it != null })
        }
    }

    @Nested
    inner class `interim responses` {
        @Test
        fun `are skipped, guarding against an empty response in place of the real one`() {
            val response = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"

            assertEquals(200 to "body", exchange(response))
        }
    }
}
