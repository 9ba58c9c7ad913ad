package org.lycheemount.caller.routed

import org.junit.jupiter.api.Nested
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTimedValue

internal class SlowServerTest : RoutedFixture() {
    /** Sends [text] every [intervalMs] until the router closes the connection, for ten seconds at most. */
    private fun RawServer.Connection.trickle(
        text: String,
        intervalMs: Long = 20,
    ) {
        val endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(10)
        runCatching {
            while (System.nanoTime() < endNs) {
                write(text)
                Thread.sleep(intervalMs)
            }
        }
        first.callerDisconnects.add(Unit)
    }

    private fun eventCount(response: String) = Regex("data: ").findAll(response).count()

    @Nested
    inner class `a slow stream` {
        @Test
        fun `is relayed to its end, guarding against a timeout between events of a sound server`() {
            first.enqueue {
                startStream()
                for (id in 1..6) {
                    Thread.sleep(300)
                    event(id)
                }
                endStream()
            }

            val response = exchange("/chat/1")

            assertEquals(6, eventCount(response), response)
            assertTrue(response.endsWith("0\r\n\r\n"), response)
        }

        @Test
        fun `goes on when its server is no longer listed, guarding against work that is given up because a report is late`() {
            first.enqueue {
                startStream()
                event(1)
                dispatcher.onBackendServers(listOf(second.describe()))
                Thread.sleep(300)
                event(2)
                endStream()
            }

            val response = exchange("/draft/1")

            assertEquals(2, eventCount(response), response)
            assertTrue(response.endsWith("0\r\n\r\n"), response)
            assertEquals(0, second.requests.size)
        }
    }

    @Nested
    inner class `a stalled stream that sends a byte now and then` {
        @Test
        fun `is aborted at the route's timeout, guarding against a stream that never ends`() {
            first.enqueue {
                startStream()
                event(1)
                trickle("1\r\n:\r\n")
            }

            val (response, elapsed) = measureTimedValue { exchange("/brief/1") }

            assertEquals(1, eventCount(response), response)
            assertFalse(response.endsWith("0\r\n\r\n"), response)
            assertTrue(elapsed < 5.seconds, "$elapsed")
            assertEquals(Unit, first.callerDisconnects.poll(5, TimeUnit.SECONDS))
        }

        @Test
        fun `before its first event has an unknown outcome at the route's timeout`() {
            first.enqueue {
                startStream()
                trickle("1\r\n:\r\n")
            }

            val (response, elapsed) = measureTimedValue { exchange("/brief/1") }

            assertTrue(response.startsWith("HTTP/1.1 504"), response)
            assertTrue(elapsed < 5.seconds, "$elapsed")
        }
    }

    @Nested
    inner class `a refusal` {
        @Test
        fun `whose body has no end is retried at once, guarding against a request that waits for a body it does not need`() {
            first.enqueue {
                head("503 Service Unavailable", "X-Not-Run: 1", "X-Id: r")
                trickle("busy")
            }
            second.enqueue(completeResponse("served"))

            val (response, elapsed) = measureTimedValue { exchange("/order/1") }

            assertEquals("served", body(response))
            assertTrue(elapsed < 3.seconds, "$elapsed")
            assertEquals(Unit, first.callerDisconnects.poll(5, TimeUnit.SECONDS))
        }

        @Test
        fun `whose body is truncated still shows that the request did not run`() {
            first.enqueue {
                head("503 Service Unavailable", "X-Not-Run: 1", "X-Id: r", "Content-Length: 100")
                write("busy")
            }
            second.enqueue(completeResponse("served"))

            assertEquals("served", body(exchange("/order/1")))
        }
    }
}
