package org.lycheemount.backend

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.lycheemount.common.RequestId
import org.lycheemount.testing.SocketServer
import java.util.concurrent.LinkedBlockingQueue
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class PlainServiceResponseTest {
    private val responses = LinkedBlockingQueue<String>()
    private val requests = LinkedBlockingQueue<String>()

    @Volatile
    private var endsWithReset = false
    private val server =
        SocketServer {
            requests += readHead() ?: return@SocketServer
            write(responses.take())
            if (endsWithReset) reset()
        }
    private val http = BackendHttp()
    private val client = DefaultPlainServiceClient(http)

    @AfterEach
    fun close() {
        http.close()
        server.close()
    }

    /** Calls a server that sends [response] and closes the connection. Returns status and body, or the failure. */
    private fun call(
        response: String,
        method: String = "GET",
        headers: List<Pair<String, String>> = emptyList(),
    ): Any {
        responses += response
        val call = ServiceCall(RequestId("r"), method, "/path?query=%20", headers, ByteArray(0), TIMEOUT_MS)
        return when (val outcome = runBlocking { client.call(server.describe(), call) }) {
            is ServiceCallOutcome.Response -> outcome.httpStatus to outcome.body.decodeToString()
            is ServiceCallOutcome.TooLarge -> outcome
            is ServiceCallOutcome.Failed -> outcome.failure
        }
    }

    /** Guards against a part of a response that is taken for the whole one. */
    @Nested
    inner class `a response that is cut off` {
        private fun assertIncompleteUpTo(
            response: String,
            lastByte: Int = response.length - 1,
        ) {
            val outcomes = (0..lastByte).associateWith { call(response.take(it)) }

            assertEquals(emptyMap(), outcomes.filterValues { it != AttemptFailure.BROKEN_CONNECTION })
            assertEquals(200 to "body of two", call(response))
        }

        @Test
        fun `in chunks is a failure at each byte, also at those of its last chunk`() =
            assertIncompleteUpTo("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbody \r\n6\r\nof two\r\n0\r\n\r\n")

        @Test
        fun `in chunks with trailers is a failure at each byte`() =
            assertIncompleteUpTo("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nbody of two\r\n0\r\nSum: 1\r\n\r\n")

        @Test
        fun `with a length is a failure at each byte`() = assertIncompleteUpTo("HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nbody of two")

        @Test
        fun `without a length is a failure at each byte of its head`() {
            val head = "HTTP/1.1 200 OK\r\nDate: now\r\n\r\n"

            assertIncompleteUpTo(head + "body of two", lastByte = head.length - 1)
        }

        @Test
        fun `without a length is a failure if the connection is reset`() {
            endsWithReset = true

            assertEquals(AttemptFailure.BROKEN_CONNECTION, call("HTTP/1.1 200 OK\r\n\r\nbody"))
        }
    }

    @Nested
    inner class `a status` {
        private fun response(status: String) = "HTTP/1.1 $status Odd\r\nContent-Length: 4\r\n\r\nbody"

        @Test
        fun `outside 200 to 599 is a failure, guarding against statuses that mean nothing to callers`() {
            val outcomes = listOf("000", "042", "099", "101", "600", "999", "1000", "0200", "two").associateWith { call(response(it)) }

            assertEquals(emptyMap(), outcomes.filterValues { it !is AttemptFailure })
        }

        @Test
        fun `of 200 to 599 is returned`() {
            assertEquals(listOf(200, 302, 418, 599).map { it to "body" }, listOf("200", "302", "418", "599").map { call(response(it)) })
        }
    }

    @Nested
    inner class `interim responses` {
        @Test
        fun `are skipped, guarding against an empty response in place of the real one`() {
            val interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"

            assertEquals(200 to "body", call(interim + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"))
        }
    }

    @Nested
    inner class `a call` {
        @Test
        fun `uses a connection of its own, guarding against an unknown outcome on one that the server has closed`() {
            repeat(2) { call("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nKeep-Alive: timeout=60\r\n\r\nbody") }

            assertEquals(2, server.connectionCount.get())
        }

        @Test
        fun `reaches the server with its target, its headers and its id`() {
            val sent = listOf("Accept" to "text/plain", "Connection" to "keep-alive", "X-Request-Id" to "other")

            call("HTTP/1.1 204 No Content\r\n\r\n", headers = sent)

            val lines = requests.take().trim().lines()
            assertEquals("GET /path?query=%20 HTTP/1.1", lines.first())
            val headers = lines.drop(1).map { it.substringBefore(':').lowercase() to it.substringAfter(": ") }
            val expected = listOf("accept" to "text/plain", "connection" to "close", "x-request-id" to "r")
            assertEquals(expected.toSet(), headers.filter { it.first in expected.toMap() }.toSet())
        }

        @Test
        fun `of HEAD has no body, whatever length the response states`() {
            assertEquals(200 to "", call("HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n", method = "HEAD"))
        }

        @Test
        fun `that the server refuses has not run`() {
            val refusal = "HTTP/1.1 503 Service Unavailable\r\n$REFUSED_HEADER: $REFUSED_LEAVING\r\nContent-Length: 0\r\n\r\n"

            assertEquals(AttemptFailure.REFUSED_LEAVING, call(refusal))
        }

        @Test
        fun `to a server that is gone has not run`() {
            server.close()

            assertIs<AttemptFailure>(call("")).also { assertEquals(AttemptFailure.CONNECT_FAILED, it) }
        }
    }

    private companion object {
        private const val TIMEOUT_MS = 5_000L
    }
}
