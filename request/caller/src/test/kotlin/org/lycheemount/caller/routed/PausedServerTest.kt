package org.lycheemount.caller.routed

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class PausedServerTest : RoutedFixture() {
    private fun respondWithPause(
        status: String = "503 Service Unavailable",
        vararg headers: String,
    ) = first.enqueue { head(status, "Content-Length: 4", "X-Pause: 60", *headers).also { write("busy") } }

    private fun assertNextGoesToSecond() {
        val before = first.requests.size
        second.enqueue(completeResponse("next", id = "n"))

        assertEquals("next", body(exchange("/order/1", id = "n")))
        assertEquals(before, first.requests.size)
    }

    @Nested
    inner class `a server gets no further request after it has asked for a pause, guarding against a server that is asked in vain` {
        @Test
        fun `in a refusal, after which the request goes to another server at once`() {
            respondWithPause(headers = arrayOf("X-Id: r", "X-Not-Run: 1"))
            second.enqueue(completeResponse("retried"))

            assertEquals("retried", body(exchange("/order/1")))
            assertNextGoesToSecond()
        }

        @Test
        fun `in a refusal that does not name its request`() {
            respondWithPause(headers = arrayOf("X-Not-Run: 1"))
            second.enqueue(completeResponse("retried"))

            assertEquals("retried", body(exchange("/order/1")))
            assertNextGoesToSecond()
        }

        @Test
        fun `in a response that does not say whether the request has run`() {
            respondWithPause(headers = arrayOf("X-Id: r"))

            exchange("/order/1")
            assertNextGoesToSecond()
        }

        @Test
        fun `although it has lapsed from the list of servers and is listed again`() {
            respondWithPause(headers = arrayOf("X-Id: r", "X-Not-Run: 1"))
            second.enqueue(completeResponse("retried"))
            exchange("/order/1")

            statements.onBackendServers(listOf(second.describe()))
            statements.onBackendServers(listOf(first.describe(), second.describe()))
            assertNextGoesToSecond()
        }
    }

    @Nested
    inner class `a server still gets requests` {
        @Test
        fun `after a response to another request that asks for a pause`() {
            first.enqueue { head("200 OK", "Content-Length: 0", "X-Id: earlier", "X-Pause: 60") }
            exchange("/order/1")
            first.enqueue(completeResponse("next", id = "n"))

            assertEquals("next", body(exchange("/order/1", id = "n")))
        }
    }

    @Nested
    inner class `while all servers pause` {
        @Test
        fun `a request is refused at once`() {
            respondWithPause(headers = arrayOf("X-Id: r", "X-Not-Run: 1"))
            second.enqueue {
                head(
                    "503 Service Unavailable",
                    "Content-Length: 4",
                    "X-Pause: 60",
                    "X-Id: r",
                    "X-Not-Run: 1",
                ).also { write("busy") }
            }
            exchange("/order/1")

            assertTrue(exchange("/order/1", id = "n").startsWith("HTTP/1.1 503"))
            assertEquals(listOf(1, 1), listOf(first.requests.size, second.requests.size))
        }
    }
}
