package org.lycheemount.caller.routed

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class StreamOrderTest : RoutedFixture() {
    private fun eventIds(response: String) = Regex("id: (\\d+)").findAll(response).map { it.groupValues[1].toInt() }.toList()

    private fun looksComplete(response: String) = response.endsWith("0\r\n\r\n")

    private fun stream(vararg ids: Int): RawServer.Connection.() -> Unit =
        {
            startStream()
            ids.forEach { event(it) }
            endStream()
        }

    @Nested
    inner class `a stream that may be resumed` {
        @Test
        fun `and whose first server skips an event goes on at another server, guarding against a stream without one of its events`() {
            first.enqueue(stream(1, 2, 4, 5))
            second.enqueue(stream(3, 4, 5))

            val response = exchange("/draft/1")

            assertEquals(listOf(1, 2, 3, 4, 5), eventIds(response))
            assertTrue(looksComplete(response), response)
        }

        @Test
        fun `and whose first server repeats an event goes on at another server, guarding against an event that comes twice`() {
            first.enqueue(stream(1, 2, 2, 3))
            second.enqueue(stream(3))

            val response = exchange("/draft/1")

            assertEquals(listOf(1, 2, 3), eventIds(response))
            assertTrue(looksComplete(response), response)
        }

        @Test
        fun `and that its caller resumes starts at the next event, guarding against events that its caller has already`() {
            first.enqueue(stream(1, 2, 3, 4))
            second.enqueue(stream(3, 4))

            val response = exchange("/draft/1", "Last-Event-Id: 2")

            assertEquals(listOf(3, 4), eventIds(response))
            assertTrue(looksComplete(response), response)
        }

        @Test
        fun `and that its caller resumes without a gap, guarding against a missing event between two responses`() {
            first.enqueue(stream(4, 5))
            second.enqueue(stream(3, 4, 5))

            assertEquals(listOf(3, 4, 5), eventIds(exchange("/draft/1", "Last-Event-Id: 2")))
        }
    }

    @Nested
    inner class `a stream that cannot be resumed` {
        @Test
        fun `is closed without its end if an event comes twice`() {
            first.enqueue(stream(1, 2, 2, 3))

            val response = exchange("/chat/1")

            assertEquals(listOf(1, 2), eventIds(response))
            assertFalse(looksComplete(response), response)
        }

        @Test
        fun `may number its events in steps of any size, since ids need only increase`() {
            first.enqueue(stream(5, 10, 17))

            val response = exchange("/chat/1")

            assertEquals(listOf(5, 10, 17), eventIds(response))
            assertTrue(looksComplete(response), response)
        }
    }
}
