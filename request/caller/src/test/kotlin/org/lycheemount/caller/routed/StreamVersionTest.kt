package org.lycheemount.caller.routed

import kotlinx.coroutines.awaitCancellation
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.lycheemount.common.BackendServer
import org.lycheemount.common.CallerAttemptId
import org.lycheemount.common.SoftwareVersion
import org.lycheemount.origins.StreamOrigin
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

private val V1 = SoftwareVersion("v1")
private val V2 = SoftwareVersion("v2")

internal class StreamVersionTest : RoutedFixture() {
    private val third = RawServer("i-3")

    @AfterEach
    fun closeThird() = third.close()

    private fun list(vararg servers: BackendServer) = dispatcher.onBackendServers(servers.toList())

    /** Streams the events [ids] and closes the connection inside the next one. */
    private fun RawServer.Connection.breakAfter(ids: IntRange) {
        startStream()
        ids.forEach(::event)
        chunk("id: ${ids.last + 1}\nda")
    }

    private fun RawServer.Connection.completeStream(ids: IntRange) {
        startStream()
        ids.forEach(::event)
        endStream()
    }

    private fun eventIds(response: String) = Regex("id: (\\d+)").findAll(response).map { it.groupValues[1].toInt() }.toList()

    private fun looksComplete(response: String) = response.endsWith("0\r\n\r\n")

    /** Resumes after event 2 a stream that attempt a1 began. */
    private fun resume(
        path: String = "/long/1",
        vararg headers: String = arrayOf("Resumes: a1"),
    ) = exchange(path, "Last-Event-Id: 2", *headers)

    private fun fieldsOf(event: String) = log.events.last { (name, _) -> name == event }.second

    @Nested
    inner class `a stream that breaks off while two versions serve` {
        @Test
        fun `goes on only at a server of the version that began it, guarding against events that are joined from two versions`() {
            list(first.describe(V1), second.describe(V2), third.describe(V1))
            first.enqueue { breakAfter(1..2) }
            second.enqueue { completeStream(3..4) }
            third.enqueue { completeStream(3..4) }

            val response = exchange("/long/1")

            assertEquals(listOf(1, 2, 3, 4), eventIds(response), response)
            assertTrue(looksComplete(response), response)
            assertEquals(0 to 1, second.requests.size to third.requests.size)
        }

        @Test
        fun `is broken off at once if no other server has its version, guarding against a search until the deadline`() {
            list(first.describe(V1), second.describe(V2))
            first.enqueue { breakAfter(1..2) }
            second.enqueue { completeStream(3..4) }

            val response = exchange("/long/1")

            assertEquals(listOf(1, 2), eventIds(response), response)
            assertFalse(looksComplete(response), response)
            assertEquals(0, second.requests.size)
            assertEquals("broken_off:no server for resuming: no_backend_server", awaitLoggedOutcome())
        }

        @Test
        fun `is broken off if the other servers of its version refuse it, guarding against a last resort at another version`() {
            list(first.describe(V1), second.describe(V2), third.describe(V1))
            first.enqueue { breakAfter(1..2) }
            second.enqueue { completeStream(3..4) }
            third.enqueue { head("503 Service Unavailable", "X-Not-Run: 1", "X-Id: r", "Content-Length: 0") }

            val response = exchange("/long/1")

            assertEquals(listOf(1, 2), eventIds(response), response)
            assertFalse(looksComplete(response), response)
            assertEquals(0 to 1, second.requests.size to third.requests.size)
        }

        @Test
        fun `and whose server has restarted with another version does not go on there`() {
            list(first.describe(V1), second.describe(V1))
            first.enqueue {
                startStream()
                event(1)
                list(first.describe(V1), second.describe(V2, run = 2))
            }
            second.enqueue { completeStream(2..3) }

            val response = exchange("/long/1")

            assertEquals(listOf(1), eventIds(response), response)
            assertFalse(looksComplete(response), response)
            assertEquals(0, second.requests.size)
        }
    }

    @Nested
    inner class `a stream that breaks off in its first event` {
        @Test
        fun `may start anew at any version, and then goes on only at that one`() {
            list(first.describe(V1), second.describe(V2), third.describe(V1))
            first.enqueue { startStream().also { chunk("id: 1\ndata: lost") } }
            second.enqueue { breakAfter(1..2) }
            third.enqueue { completeStream(3..4) }

            val response = exchange("/long/1")

            assertEquals(listOf(1, 2), eventIds(response), response)
            assertFalse(looksComplete(response), response)
            assertEquals(0, third.requests.size)
            assertEquals(listOf("r" to "v2"), origins.begunStreams)
        }
    }

    @Nested
    inner class `a server that is replaced under its id` {
        @Test
        fun `before its first event does not begin the stream, guarding against a stream that is recorded under a wrong version`() {
            list(first.describe(V1), second.describe(V1))
            first.enqueue {
                list(first.describe(V2, run = 2), second.describe(V1))
                completeStream(1..9)
            }
            second.enqueue { completeStream(1..2) }

            val response = exchange("/long/1")

            assertEquals(listOf(1, 2), eventIds(response), response)
            assertEquals(listOf("r" to "v1"), origins.begunStreams)
        }

        @Test
        fun `before its first event does not go on with the stream`() {
            list(first.describe(V1), second.describe(V1), third.describe(V1))
            first.enqueue { breakAfter(1..2) }
            second.enqueue {
                list(first.describe(V1), second.describe(V2, run = 2), third.describe(V1))
                completeStream(3..9)
            }
            third.enqueue { completeStream(3..4) }

            val response = exchange("/long/1")

            assertEquals(listOf(1, 2), eventIds(response), response)
            assertFalse(looksComplete(response), response)
        }
    }

    @Nested
    inner class `a stream that a caller resumes` {
        @Test
        fun `goes on at the version that began it, guarding against events that are joined from two versions`() {
            list(first.describe(V1), second.describe(V2))
            origins.findOrigin = { StreamOrigin.Known(V2) }
            first.enqueue { completeStream(3..4) }
            second.enqueue { completeStream(3..4) }

            val response = resume()

            assertEquals(listOf(3, 4), eventIds(response), response)
            assertEquals(0 to 1, first.requests.size to second.requests.size)
            assertEquals(listOf<String?>("a1"), origins.askedAttempts)
            awaitLoggedOutcome()
            assertEquals("v2" to "known:v2", fieldsOf("request_ended").let { it["version"] to it["origin"] })
        }

        @Test
        fun `and that breaks off again goes on at the same version`() {
            list(first.describe(V1), second.describe(V2), third.describe(V2))
            origins.findOrigin = { StreamOrigin.Known(V2) }
            first.enqueue { completeStream(4..5) }
            second.enqueue { breakAfter(3..3) }
            third.enqueue { completeStream(4..5) }

            val response = resume()

            assertEquals(listOf(3, 4, 5), eventIds(response), response)
            assertTrue(looksComplete(response), response)
            assertEquals(0, first.requests.size)
        }

        @Test
        fun `and that breaks off before its next event is retried at the same version, as no new stream is`() {
            list(first.describe(V1), second.describe(V2), third.describe(V2))
            origins.findOrigin = { StreamOrigin.Known(V2) }
            first.enqueue { completeStream(3..4) }
            second.enqueue { startStream() }
            third.enqueue { completeStream(3..4) }

            val response = resume()

            assertEquals(listOf(3, 4), eventIds(response), response)
            assertEquals(0, first.requests.size)
        }

        @Test
        fun `is refused at once as not run if no server of its version is left, without tokens being reserved`() {
            list(first.describe(V1), second.describe(V2).copy(leaving = true))
            origins.findOrigin = { StreamOrigin.Known(V2) }

            val response = resume("/long/1", "Resumes: a1", "X-Tokens: 10,20")

            assertTrue(response.startsWith("HTTP/1.1 503"), response)
            assertEquals("not_run:no_backend_server", awaitLoggedOutcome())
            assertEquals(0, first.requests.size + second.requests.size)
            assertEquals(1_000_000, ledger.available())
            assertEquals(0L, fieldsOf("request_ended")["token_wait_ms"])
        }

        @Test
        fun `is refused as not run if its origin is unknown, guarding against events that are joined from two versions`() {
            list(first.describe(V1), second.describe(V2))
            origins.findOrigin = { StreamOrigin.Unknown("two versions served") }

            val response = resume()

            assertTrue(response.startsWith("HTTP/1.1 503"), response)
            assertEquals("not_run:stream_origin_unknown", awaitLoggedOutcome())
            assertEquals(0, first.requests.size + second.requests.size)
            assertEquals("unknown:two versions served", fieldsOf("request_ended")["origin"])
            val refused = fieldsOf("request_refused")
            assertEquals("stream_origin_unknown" to "not-run", refused["reason"] to refused["outcome"])
            assertTrue(refused["retry_after_ms"] as Long in 1L..2_000L, "$refused")
        }

        @Test
        fun `without the attempt that began it is refused only if its origin matters`() {
            list(first.describe(V1), second.describe(V1))
            origins.findOrigin = { StreamOrigin.Known(V1) }
            first.enqueue { completeStream(3..4) }

            val response = exchange("/long/1", "Last-Event-Id: 2")

            assertEquals(listOf(3, 4), eventIds(response), response)
            assertEquals(listOf<String?>(null), origins.askedAttempts)
        }

        @Test
        fun `goes on at any server if the servers state no versions`() {
            first.enqueue { completeStream(3..4) }

            assertEquals(listOf(3, 4), eventIds(resume()))
        }

        @Test
        fun `is not recorded, guarding against an attempt that is taken for the origin of the stream`() {
            list(first.describe(V1))
            origins.findOrigin = { StreamOrigin.Known(V1) }
            first.enqueue { completeStream(3..4) }

            resume()

            assertEquals(emptyList(), origins.begunStreams)
        }

        @Test
        fun `is refused before its deadline if its origin is not found in time`() {
            list(first.describe(V1), second.describe(V2))
            origins.findOrigin = { awaitCancellation() }

            val response = resume("/urgent/1")

            assertTrue(response.startsWith("HTTP/1.1 503"), response)
            assertEquals("not_run:stream_origin_unknown", awaitLoggedOutcome())
        }

        @Test
        fun `is refused as not run at a shutdown while its origin is looked up`() {
            list(first.describe(V1), second.describe(V2))
            origins.findOrigin = {
                drain.endRequests()
                awaitCancellation()
            }

            val response = resume()

            assertTrue(response.startsWith("HTTP/1.1 503"), response)
            assertEquals("not_run:draining", awaitLoggedOutcome())
        }

        @Test
        fun `on a route without resumable streams is passed on as before`() {
            list(first.describe(V1), second.describe(V2))
            origins.findOrigin = { StreamOrigin.Unknown("two versions served") }
            first.enqueue { completeStream(3..4) }

            assertEquals(listOf(3, 4), eventIds(resume("/chat/1")))
            assertEquals(emptyList(), origins.askedAttempts)
        }
    }

    @Nested
    inner class `a new stream` {
        @Test
        fun `is recorded once with the version that began it`() {
            list(first.describe(V1), second.describe(V1))
            first.enqueue { breakAfter(1..2) }
            second.enqueue { completeStream(3..4) }

            exchange("/long/1", id = "r")

            assertEquals(listOf("r" to "v1"), origins.begunStreams)
        }

        @Test
        fun `is not recorded before it has an event that can be resumed after`() {
            list(first.describe(V1))
            first.enqueue { startStream().also { chunk(": ping\n\n") } }

            exchange("/long/1")

            assertEquals(emptyList(), origins.begunStreams)
        }

        @Test
        fun `without an id is not recorded`() {
            list(first.describe(V1))
            first.enqueue {
                head("200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "X-Id:")
                event(1)
                endStream()
            }

            assertEquals(listOf(1), eventIds(exchange("/long/1", id = "")))
            assertEquals(emptyList(), origins.begunStreams)
        }

        @Test
        fun `on a route without resumable streams is not recorded`() {
            list(first.describe(V1))
            first.enqueue { completeStream(1..2) }

            assertEquals(listOf(1, 2), eventIds(exchange("/chat/1")))
            assertEquals(emptyList(), origins.begunStreams)
        }

        @Test
        fun `begins only on a version whose use can be found out later`() {
            list(first.describe(V1), second.describe(V2))
            origins.usableVersions = setOf(V2)
            second.enqueue { completeStream(1..2) }

            assertEquals(listOf(1, 2), eventIds(exchange("/long/1")))
            assertEquals(0, first.requests.size)
        }

        @Test
        fun `is refused at once if no version may be used`() {
            list(first.describe(V1), second.describe(V2))
            origins.usableVersions = emptySet()

            assertTrue(exchange("/long/1").startsWith("HTTP/1.1 503"))
            assertEquals("not_run:no_backend_server", awaitLoggedOutcome())
        }
    }

    @Nested
    inner class `a request that is no resumable stream` {
        @Test
        fun `is served by any version`() {
            list(first.describe(V1), second.describe(V2))
            origins.usableVersions = setOf(V2)
            repeat(2) { first.enqueue(completeResponse("served")) }
            first.enqueue { completeStream(1..2) }

            assertEquals("served", body(exchange("/order/1")))
            assertEquals("served", body(exchange("/read/1")))
            assertEquals(listOf(1, 2), eventIds(exchange("/chat/1")))
        }
    }

    @Nested
    inner class `a route with two services` {
        private fun RawServer.enqueueAnyStream() =
            enqueue {
                val id = Regex("X-Id: (.*)").find(requests.last())!!.groupValues[1]
                val lastEventId =
                    Regex("Resume-After: (.*)").find(requests.last())?.run { groupValues[1].toInt() } ?: 0
                head("200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "X-Id: $id")
                event(lastEventId + 1)
                endStream()
            }

        /** Sends a request and returns how many requests the second server received for it. */
        private fun requestsOfSecond(
            id: String,
            vararg headers: String,
        ): Int {
            listOf(first, second).forEach { it.enqueueAnyStream() }
            val before = second.requests.size
            val response = exchange("/split/1", *headers, id = id)
            assertTrue(looksComplete(response), "attempt $id: $response")
            return second.requests.size - before
        }

        @Test
        fun `leads a resumption to the service that began the stream, guarding against events that are joined from two services`() {
            list(first.describe(V1), second.describe(V1, service = "s2"))
            val attemptIds = (1..20).map { "a$it" }

            val servicesOfStreams = attemptIds.map { requestsOfSecond(it) }
            val servicesOfResumptions = attemptIds.map { requestsOfSecond("$it-2", "Last-Event-Id: 1", "Resumes: $it") }

            assertEquals(setOf(0, 1), servicesOfStreams.toSet())
            assertEquals(servicesOfStreams, servicesOfResumptions)
        }

        @Test
        fun `gets new streams in proportion to the weights`() {
            val values = (0 until 10_000).map { uniformHash(CallerAttemptId("%016x".format(it * 2_654_435_761L))) }

            for (share in listOf(0.01, 0.1, 0.5, 0.9)) {
                assertEquals(share, values.count { it < share } / 10_000.0, absoluteTolerance = 0.015)
            }
            assertTrue(values.all { it >= 0.0 && it < 1.0 })
        }
    }
}
