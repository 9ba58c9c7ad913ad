package org.lycheemount.caller.routed

import org.junit.jupiter.api.Nested
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

internal class RoutedInterfaceTest : RoutedFixture() {
    @Nested
    inner class `an answer` {
        @Test
        fun `is passed on with the server's status, headers and body`() {
            first.answer(whole("hello", "201 Created"))

            val answer = exchange("/order/1?x=a%20b")

            assertTrue(answer.startsWith("HTTP/1.1 201"), answer)
            assertTrue("X-Mark: m" in answer, answer)
            assertEquals("hello", body(answer))
            assertTrue(first.requests.single().startsWith("POST /order/1?x=a%20b HTTP/1.1"), first.requests.single())
            assertFalse("Authorization" in first.requests.single())
        }

        @Test
        fun `to another request that comes first on a kept connection is skipped`() {
            first.answer {
                isKept = true
                head("200 OK", "Content-Length: 5", "X-Id: r")
                write("first")
                head("200 OK", "Content-Length: 4", "X-Id: x")
                write("late")
            }
            first.answer(whole("second"))
            first.answer(whole("second"))

            assertEquals("first", body(exchange("/order/1")))
            assertEquals("second", body(exchange("/order/2")))
        }

        @Test
        fun `reaches every caller that closes after it, guarding against requests that the engine takes for abandoned`() {
            val answers =
                (1..60).map {
                    first.answer { head("200 OK", "Content-Length: 2", "X-Id: r", "Connection: close").also { write("ok") } }
                    body(exchange("/order/$it"))
                }

            assertEquals(List(60) { "ok" }, answers)
        }

        @Test
        fun `without a length ends with its connection`() {
            first.answer {
                head("200 OK", "X-Id: r", "Connection: close")
                write("unframed")
            }

            assertEquals("unframed", body(exchange("/order/1")))
        }
    }

    @Nested
    inner class `an order whose answer breaks off` {
        @Test
        fun `is not sent again and not said to have not run, guarding against an order that goes through twice`() {
            first.answer {
                head("200 OK", "Content-Length: 100", "X-Id: r")
                write("half")
            }

            val answer = exchange("/order/1")

            assertTrue(answer.startsWith("HTTP/1.1 502"), answer)
            assertEquals(1, first.requests.size + second.requests.size)
        }

        @Test
        fun `counts as unknown at the route's timeout, and the server's connection is closed`() {
            first.answer { awaitClose() }

            val answer = exchange("/slow/1")

            assertTrue(answer.startsWith("HTTP/1.1 504"), answer)
            assertNotNull(first.abandoned.poll(10, TimeUnit.SECONDS))
        }
    }

    @Nested
    inner class `a request that a server did not run` {
        @Test
        fun `is sent to another server`() {
            first.answer { head("503 Service Unavailable", "X-Not-Run: 1", "X-Id: r", "Content-Length: 0") }
            second.answer(whole("served"))

            assertEquals("served", body(exchange("/order/1")))
        }
    }

    @Nested
    inner class `a read that a server failed` {
        @Test
        fun `is sent to another server, and the first failure is passed on when that fails as well`() {
            first.answer(whole("mine", "500 Internal Server Error"))
            second.answer { head("503 Service Unavailable", "X-Not-Run: 1", "X-Id: r", "Content-Length: 0") }

            val answer = exchange("/read/1")

            assertTrue(answer.startsWith("HTTP/1.1 500"), answer)
            assertEquals("mine", body(answer))
        }
    }

    @Nested
    inner class `a stream` {
        @Test
        fun `that breaks off in an event goes on at another server without a gap or a repetition`() {
            first.answer {
                startStream()
                event(1)
                event(2)
                chunk("id: 3\nda")
            }
            second.answer {
                startStream()
                event(3)
                event(4)
                endStream()
            }

            val answer = exchange("/draft/1")

            assertEquals(listOf("1", "2", "3", "4"), Regex("id: (\\d+)").findAll(answer).map { it.groupValues[1] }.toList())
            assertTrue(answer.endsWith("0\r\n\r\n"), answer)
            assertTrue("Resume-After: 2" in second.requests.single(), second.requests.single())
        }

        @Test
        fun `that cannot be resumed is cut without its end, guarding against an answer that looks complete`() {
            first.answer {
                startStream()
                event(1)
            }

            val answer = exchange("/chat/1")

            assertTrue("id: 1" in answer, answer)
            assertFalse(answer.endsWith("0\r\n\r\n"), answer)
            assertEquals(0, second.requests.size)
            assertEquals("broken_off:the stream broke off at event 1", outcomeLogged())
        }

        @Test
        fun `whose caller leaves is dropped at the server and charged for what was delivered`() {
            first.answer {
                startStream()
                event(1)
                awaitClose()
            }

            val caller = open("/chat/1", "X-Tokens: 30,40")
            caller.getInputStream().read(ByteArray(20))
            caller.close()

            assertNotNull(first.abandoned.poll(10, TimeUnit.SECONDS))
            assertEquals(35, assertNotNull(ledger.bills.poll(10, TimeUnit.SECONDS)).charge.totalTokens)
            assertEquals("caller_gone", outcomeLogged())
        }

        @Test
        fun `that no server ran is not charged, guarding against prepaid tokens lost to servers that are full`() {
            first.answer { head("503 Service Unavailable", "X-Not-Run: 1", "X-Id: r", "Content-Length: 0") }
            second.answer { head("503 Service Unavailable", "X-Not-Run: 1", "X-Id: r", "Content-Length: 0") }

            val answer = exchange("/chat/1", "X-Tokens: 30,40")

            assertTrue(answer.startsWith("HTTP/1.1 503"), answer)
            assertEquals("not_run:no_backend_server", outcomeLogged())
            assertEquals(0, ledger.bills.size)
        }

        @Test
        fun `of a team without tokens is refused before it reaches a server`() {
            val answer = exchange("/chat/1", "X-Tokens: 600000,600000")

            assertTrue(answer.startsWith("HTTP/1.1 429") || answer.startsWith("HTTP/1.1 503"), answer)
            assertEquals(0, first.requests.size)
        }
    }

    @Nested
    inner class `a request without route or key` {
        @Test
        fun `is refused and logged with its id`() {
            val answer =
                open("/nowhere/").use { socket ->
                    ByteArray(12).also { socket.getInputStream().readNBytes(it, 0, 12) }.decodeToString()
                }

            assertEquals("HTTP/1.1 404", answer)
            assertTrue(
                log.events.any { (name, fields) ->
                    name == "request_refused" && fields["reason"] == "unknown_service" &&
                        fields["request_id"] == "r"
                },
            )
        }
    }
}
