package org.lycheemount.caller.routed

import org.junit.jupiter.api.Nested
import java.util.concurrent.CountDownLatch
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class BrokenStreamTest : RoutedFixture() {
    private fun RawServer.Connection.startUnframedStream() = head("200 OK", "Content-Type: text/event-stream", "X-Id: r")

    /** Streams events 1 and 2 and closes the connection in the middle of event 3. */
    private fun RawServer.Connection.breakInThirdEvent() {
        startStream()
        event(1)
        event(2)
        chunk("id: 3\nda")
    }

    private fun eventIds(response: String) = Regex("id: (\\d+)").findAll(response).map { it.groupValues[1].toInt() }.toList()

    private fun looksComplete(response: String) = response.endsWith("0\r\n\r\n")

    /** Exchanges a stream that breaks in its third event and that the second server resumes with [resumed]. */
    private fun exchangeResumed(resumed: RawServer.Connection.() -> Unit): String {
        first.enqueue { breakInThirdEvent() }
        second.enqueue(resumed)
        return exchange("/draft/1")
    }

    private fun assertTruncated(
        name: String,
        lastEventId: Int,
        resumed: RawServer.Connection.() -> Unit,
    ) {
        val response = exchangeResumed(resumed)

        assertEquals((1..lastEventId).toList(), eventIds(response), "$name: $response")
        assertFalse(looksComplete(response), "$name: $response")
        assertFalse("failure" in response, "$name: $response")
    }

    @Nested
    inner class `a stream with an event without end` {
        @Test
        fun `is resumed at the next server like a truncated one, guarding against streams that fill the heap`() {
            first.enqueue {
                startStream()
                event(1)
                event(2)
                repeat(20) { chunk("x".repeat(8_192)) }
            }
            second.enqueue {
                startStream()
                event(3)
                endStream()
            }

            val response = exchange("/draft/1")

            assertEquals(listOf(1, 2, 3), eventIds(response), response.take(1_000))
            assertTrue(looksComplete(response))
        }
    }

    @Nested
    inner class `a stream that breaks and whose next server responds with an error` {
        @Test
        fun `is aborted without the text of the error, guarding against an error in the middle of a stream`() {
            assertTruncated("with a length", 2) {
                head("500 Internal Server Error", "X-Id: r", "Content-Length: 7")
                write("failure")
            }
            assertTruncated("without a length", 2) {
                head("500 Internal Server Error", "X-Id: r")
                write("failure")
            }
            assertTruncated("as an event stream", 2) {
                head("500 Internal Server Error", "X-Id: r", "Content-Type: text/event-stream")
                write("id: 3\ndata: failure\n\n")
            }
            assertTruncated("with status 200", 2) {
                head("200 OK", "X-Id: r", "Content-Length: 7", "Content-Type: text/plain")
                write("failure")
            }
            assertTruncated("that is no response", 2) { write("failure\r\n\r\nid: 3\ndata: failure\n\n") }
            assertTruncated("as a refusal", 2) { head("503 Service Unavailable", "X-Not-Run: 1", "X-Id: r", "Content-Length: 0") }
        }

        @Test
        fun `in place of events is aborted without the text of the error`() {
            assertTruncated("as text", 2) {
                startUnframedStream()
                write("failure\n\n")
            }
            assertTruncated("as an error event", 2) {
                startStream()
                chunk("event: error\ndata: failure\n\n")
                endStream()
            }
            assertTruncated("as nothing", 2) {
                startStream()
                endStream()
            }
        }

        @Test
        fun `after some events is aborted without the text of the error, guarding against a stream that ends as if complete`() {
            assertTruncated("as an error event", 3) {
                startStream()
                event(3)
                chunk("event: error\ndata: failure\n\n")
                endStream()
            }
            assertTruncated("as an error event with the event before", 3) {
                startStream()
                chunk("id: 3\ndata: e3\n\nevent: error\ndata: failure\n\n")
                endStream()
            }
            assertTruncated("as a whole response", 3) {
                startUnframedStream()
                write("id: 3\ndata: e3\n\nHTTP/1.1 500 Internal Server Error\r\nX-Id: r\r\n\r\nfailure")
            }
        }
    }

    @Nested
    inner class `a resumed stream` {
        @Test
        fun `that repeats or skips events is aborted, guarding against events that are joined from two runs`() {
            assertTruncated("starts too late", 2) {
                startStream()
                event(4)
                endStream()
            }
            assertTruncated("repeats an event", 3) {
                startStream()
                event(3)
                event(3)
                endStream()
            }
            assertTruncated("repeats an event in one read", 3) {
                startStream()
                chunk("id: 3\ndata: e3\n\nid: 3\ndata: e3\n\n")
                endStream()
            }
            assertTruncated("skips an event", 3) {
                startStream()
                event(3)
                event(5)
                endStream()
            }
        }

        @Test
        fun `that ends inside an event is aborted, guarding against a stream that ends as if complete`() {
            assertTruncated("without a length", 3) {
                startUnframedStream()
                write("id: 3\ndata: e3\n\nid: 4\nda")
            }
            assertTruncated("in chunks", 3) {
                startStream()
                event(3)
                chunk("id: 4\nda")
                endStream()
            }
        }

        @Test
        fun `may contain comments and end with its connection`() {
            val response =
                exchangeResumed {
                    startUnframedStream()
                    write(": ping\n\nid: 3\ndata: e3\n\n:\n\nid: 4\ndata: e4\n\n")
                }

            assertEquals(listOf(1, 2, 3, 4), eventIds(response))
            assertTrue(looksComplete(response), response)
        }
    }

    @Nested
    inner class `a stream without event ids` {
        @Test
        fun `is not resumed, guarding against events that are repeated from the start`() {
            first.enqueue {
                startStream()
                chunk("data: a\n\n")
            }
            second.enqueue {
                startStream()
                chunk("data: a\n\n")
                endStream()
            }

            val response = exchange("/draft/1")

            assertEquals(1, Regex("data: a").findAll(response).count(), response)
            assertFalse(looksComplete(response), response)
            assertEquals(0, second.requests.size)
        }
    }

    @Nested
    inner class `a stream that breaks in its first event` {
        @Test
        fun `starts anew at another server, guarding against an event that is joined from two runs`() {
            first.enqueue {
                startStream()
                chunk("id: 1\ndata: lost")
            }
            second.enqueue {
                startStream()
                event(1)
                event(2)
                endStream()
            }

            val response = exchange("/draft/1")

            assertFalse("lost" in response, response)
            assertEquals(listOf(1, 2), eventIds(response))
            assertTrue(looksComplete(response), response)
        }
    }

    @Nested
    inner class `a response without a length whose connection is reset` {
        private val isRead = CountDownLatch(1)

        /** Returns the response; [isRead] is opened when it contains [lastData]. */
        private fun exchangeUntilRead(
            path: String,
            lastData: String,
        ): String {
            val received = StringBuilder()
            open(path, "Connection: close").use { socket ->
                val bytes = ByteArray(1_024)
                while (true) {
                    val count = runCatching { socket.getInputStream().read(bytes) }.getOrDefault(-1)
                    if (count < 0) break
                    received.append(bytes.decodeToString(0, count))
                    if (lastData in received) isRead.countDown()
                }
            }
            return received.toString()
        }

        @Test
        fun `is not complete if it is a stream, guarding against a stream that ends as if complete`() {
            first.enqueue {
                startUnframedStream()
                write("id: 1\ndata: e1\n\n")
                resetAfter(isRead)
            }

            val response = exchangeUntilRead("/chat/1", "data: e1\n\n")

            assertEquals(listOf(1), eventIds(response))
            assertFalse(looksComplete(response), response)
        }

        @Test
        fun `is not complete if it is a resumed stream`() {
            first.enqueue { breakInThirdEvent() }
            second.enqueue {
                startUnframedStream()
                write("id: 3\ndata: e3\n\n")
                resetAfter(isRead)
            }

            val response = exchangeUntilRead("/draft/1", "data: e3\n\n")

            assertEquals(listOf(1, 2, 3), eventIds(response))
            assertFalse(looksComplete(response), response)
        }

        @Test
        fun `is not relayed, guarding against half a response that looks complete`() {
            first.enqueue {
                head("200 OK", "X-Id: r")
                write("half")
                Thread.sleep(100)
                resetAfter(CountDownLatch(0))
            }

            val response = exchange("/order/1")

            assertTrue(response.startsWith("HTTP/1.1 502"), response)
            assertFalse("half" in response, response)
        }
    }
}
