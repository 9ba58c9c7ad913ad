package org.lycheemount.caller.routed

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

internal class LeavingServerTest : RoutedFixture() {
    private val requestsAtFirst get() = first.requests.size

    /** Sends a request that only a server that stays can answer, and checks that it gets its response from there. */
    private fun assertNextGoesToSecond() {
        val before = requestsAtFirst
        second.enqueue(completeResponse("next", id = "n"))

        assertEquals("next", body(exchange("/order/1", id = "n")))
        assertEquals(before, requestsAtFirst)
    }

    /** The server's next response, which says that it leaves. */
    private fun respondLeaving(
        status: String = "200 OK",
        id: String = "r",
        vararg headers: String,
    ) = first.enqueue { head(status, "Content-Length: 4", "X-Id: $id", "X-Leaving: 1", *headers).also { write("done") } }

    @Nested
    inner class `a server gets no further request after it has said that it leaves` {
        @Test
        fun `in a complete response`() {
            respondLeaving()

            assertEquals("done", body(exchange("/order/1")))
            assertNextGoesToSecond()
        }

        @Test
        fun `in a response on a connection that is kept open`() {
            first.enqueue {
                keepAlive = true
                head("200 OK", "Content-Length: 4", "X-Id: r", "X-Leaving: 1", "Keep-Alive: timeout=60").also { write("done") }
            }

            exchange("/order/1")
            assertNextGoesToSecond()
        }

        @Test
        fun `in the head of a stream that has not ended`() {
            first.enqueue {
                head("200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "X-Id: r", "X-Leaving: 1")
                event(1)
                awaitClose()
            }

            open("/chat/1").use {
                it.getInputStream().read()
                assertNextGoesToSecond()
            }
        }

        @Test
        fun `in a refusal that is not passed on`() {
            respondLeaving("503 Service Unavailable", headers = arrayOf("X-Not-Run: 1"))
            second.enqueue(completeResponse("retried"))

            assertEquals("retried", body(exchange("/order/1")))
            assertNextGoesToSecond()
        }

        @Test
        fun `in a refusal because it has left`() {
            respondLeaving("421 Misdirected Request", headers = arrayOf("X-Not-Run: gone"))
            second.enqueue(completeResponse("retried"))

            assertEquals("retried", body(exchange("/order/1")))
            assertNextGoesToSecond()
        }

        @Test
        fun `in an error response`() {
            respondLeaving("500 Internal Server Error")

            assertEquals("done", body(exchange("/order/1")))
            assertNextGoesToSecond()
        }

        @Test
        fun `in a response that is cut off`() {
            first.enqueue { head("200 OK", "Content-Length: 400", "X-Id: r", "X-Leaving: 1").also { write("part") } }

            exchange("/order/1")
            assertNextGoesToSecond()
        }

        @Test
        fun `although the list of servers shows it as before`() {
            respondLeaving()
            exchange("/order/1")

            statements.onBackendServers(listOf(first.describe(), second.describe()))
            assertNextGoesToSecond()
        }
    }

    @Nested
    inner class `a server still gets requests` {
        @Test
        fun `after a response to another request that says that it leaves`() {
            first.enqueue { head("200 OK", "Content-Length: 0", "X-Id: earlier", "X-Leaving: 1") }
            exchange("/order/1")
            first.enqueue(completeResponse("next", id = "n"))

            assertEquals("next", body(exchange("/order/1", id = "n")))
        }
    }
}
