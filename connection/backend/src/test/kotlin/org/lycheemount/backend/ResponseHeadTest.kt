package org.lycheemount.backend

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.lycheemount.testing.SocketServer
import java.util.concurrent.LinkedBlockingQueue
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class ResponseHeadTest {
    private val responses = LinkedBlockingQueue<String>()
    private val server =
        SocketServer {
            readHead()
            write(responses.take())
        }
    private val http = BackendHttp()
    private val client = DefaultPassThroughClient(http)

    @AfterEach
    fun close() {
        http.close()
        server.close()
    }

    /** Returns the status and the body that a client gets if a server sends [response] and closes the connection, or a failure. */
    private fun exchange(response: String): PassThroughOutcome<Pair<Int, String>> {
        responses += response
        val call = PassThroughCall("GET", "/", emptyList(), ByteArray(0))
        return runBlocking {
            client.exchange(server.describe(), call) { it.head.httpStatus to it.body.readUpTo(MAX_BYTES).decodeToString() }
        }
    }

    @Nested
    inner class `a head that is cut off` {
        @Test
        fun `at any byte is a failure, guarding against an empty response that looks complete`() {
            val head = "HTTP/1.1 200 OK\r\nX-Id: r\r\n\r\n"

            val outcomes = (0 until head.length).associateWith { exchange(head.take(it)) }

            assertEquals(emptyMap(), outcomes.filterValues { it !is PassThroughOutcome.Failed })
            assertEquals(PassThroughOutcome.Completed(200 to "body"), exchange(head + "body"))
        }

        @Test
        fun `at any byte is a failure if its lines end with a line feed alone`() {
            val head = "HTTP/1.1 200 OK\nX-Id: r\n\n"

            val outcomes = (0 until head.length).associateWith { exchange(head.take(it)) }

            assertEquals(emptyMap(), outcomes.filterValues { it !is PassThroughOutcome.Failed })
        }
    }

    @Nested
    inner class `a long line of a head` {
        @Test
        fun `is passed on up to the limit of the head, guarding against responses that the parser of the library rejects`() {
            val lengths = listOf(8_000, 8_192, 10_000, 60_000)

            val outcomes = lengths.map { exchange("HTTP/1.1 200 OK\r\nX-Id: ${"r".repeat(it)}\r\n\r\nbody") }

            assertEquals(lengths.map { PassThroughOutcome.Completed(200 to "body") }, outcomes)
        }
    }

    @Nested
    inner class `a malformed header` {
        @Test
        fun `is a failure`() {
            val headers = listOf("X-Id", ": r", " X-Id: r", "X Id: r", "X-Id : r", "X(Id): r", "X-\u0001: r", "X-Id: r\r\n folded")

            val outcomes = headers.associateWith { exchange("HTTP/1.1 200 OK\r\n$it\r\n\r\nbody") }

            assertEquals(emptyMap(), outcomes.filterValues { it !is PassThroughOutcome.Failed })
        }
    }

    @Nested
    inner class `a head without an end` {
        @Test
        fun `is a failure, guarding against a router that runs out of memory`() {
            assertIs<PassThroughOutcome.Failed>(exchange("HTTP/1.1 200 OK\r\nX-Id: " + "r".repeat(MAX_BYTES)))
            assertIs<PassThroughOutcome.Failed>(exchange("HTTP/1.1 200 OK\r\n" + "X-Id: r\r\n".repeat(MAX_BYTES / 9)))
        }
    }

    @Nested
    inner class `a content length` {
        private fun response(length: String) = "HTTP/1.1 200 OK\r\nContent-Length: $length\r\nConnection: close\r\n\r\nbody"

        @Test
        fun `that is no number is a failure, guarding against a part of a body that looks complete`() {
            val lengths = listOf("8x0", "-5", "+4", "4.0", "4, 8", "4\r\nContent-Length: 8", "", "99999999999999999999")

            val outcomes = lengths.associateWith { exchange(response(it)) }

            assertEquals(emptyMap(), outcomes.filterValues { it !is PassThroughOutcome.Failed })
        }

        @Test
        fun `that is stated twice counts if it is the same`() {
            assertEquals(PassThroughOutcome.Completed(200 to "body"), exchange(response("4, 4")))
            assertEquals(PassThroughOutcome.Completed(200 to "body"), exchange(response("4\r\nContent-Length: 4")))
        }
    }

    @Nested
    inner class `a status` {
        private fun response(status: String) = "HTTP/1.1 $status Odd\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody"

        @Test
        fun `outside 200 to 599 is a failure`() {
            val statuses =
                listOf("000", "0", "00", "042", "099", "101", "600", "777", "999", "1000", "2000", "0200", "-200", "+200", "20", "two")

            val outcomes = statuses.associateWith { exchange(response(it)) }

            assertEquals(emptyMap(), outcomes.filterValues { it !is PassThroughOutcome.Failed })
        }

        @Test
        fun `of 200 to 599 is passed on, also if it is not assigned`() {
            val statuses = listOf(200, 299, 399, 418, 499, 500, 599)

            val outcomes = statuses.map { exchange(response("$it")) }

            assertEquals(statuses.map { PassThroughOutcome.Completed(it to "body") }, outcomes)
        }
    }

    @Nested
    inner class `interim responses` {
        private val final = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody"

        @Test
        fun `are skipped`() {
            val interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\nContent-Length: 9\r\n\r\n"

            assertEquals(PassThroughOutcome.Completed(200 to "body"), exchange(interim + final))
        }

        @Test
        fun `without a response are a failure`() {
            assertIs<PassThroughOutcome.Failed>(exchange("HTTP/1.1 100 Continue\r\n\r\n"))
        }

        @Test
        fun `without end are a failure`() {
            assertIs<PassThroughOutcome.Failed>(exchange("HTTP/1.1 103 Early Hints\r\n\r\n".repeat(100) + final))
        }
    }

    private companion object {
        private const val MAX_BYTES = 1_048_576
    }
}
