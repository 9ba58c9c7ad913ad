package org.lycheemount.backend

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
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
    inner class `a head without an end` {
        @Test
        fun `is a failure, guarding against a router that runs out of memory`() {
            assertIs<PassThroughOutcome.Failed>(exchange("HTTP/1.1 200 OK\r\nX-Id: " + "r".repeat(MAX_BYTES)))
            assertIs<PassThroughOutcome.Failed>(exchange("HTTP/1.1 200 OK\r\n" + "X-Id: r\r\n".repeat(MAX_BYTES / 9)))
        }
    }

    private companion object {
        private const val MAX_BYTES = 1_048_576
    }
}
