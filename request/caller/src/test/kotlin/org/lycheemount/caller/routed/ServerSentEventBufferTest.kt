package org.lycheemount.caller.routed

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class ServerSentEventBufferTest {
    private val buffer = ServerSentEventBuffer()

    private fun append(
        text: String,
        target: ServerSentEventBuffer = buffer,
    ): String = text.encodeToByteArray().let { target.append(it, it.size) }.decodeToString()

    @Nested
    inner class `events that arrive in fragments` {
        @Test
        fun `are buffered until complete, guarding against a fragment that the next attempt repeats`() {
            assertEquals("", append("id: 1\nda"))
            assertEquals("id: 1\ndata: a\n\n", append("ta: a\n\nid: 2\ndata"))
            assertEquals(1L, buffer.lastEventId)
            assertEquals("id: 2\ndata: b\n\n", append(": b\n\n"))
            assertEquals(2L, buffer.lastEventId)
            assertEquals(2, buffer.eventCount)
            assertEquals(0, buffer.pendingBytes)
        }

        @Test
        fun `end with an empty line, also with CR LF line endings`() {
            assertEquals("id: 7\r\ndata: x\r\n\r\n", append("id: 7\r\ndata: x\r\n\r\n"))
            assertEquals(7L, buffer.lastEventId)
        }

        @Test
        fun `are detected when they arrive byte by byte`() {
            val text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

            val completeEvents = text.map { append(it.toString()) }.filter { it.isNotEmpty() }

            assertEquals(listOf("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"), completeEvents)
        }
    }

    @Nested
    inner class `a stated last event id` {
        @Test
        fun `beyond all events lets none of them pass, guarding against a stream that goes on anywhere`() {
            for (stated in listOf(Long.MAX_VALUE, 1_000_000_000L, Long.MIN_VALUE)) {
                val resumed = ServerSentEventBuffer(resumedAfterEventId = stated, isResumable = true)
                resumed.startAttempt(isResumed = false)

                assertEquals("", append("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", resumed), "$stated")
                assertTrue(resumed.isOutOfOrder, "$stated")
                assertEquals(0, resumed.eventCount, "$stated")
            }
        }
    }

    @Nested
    inner class `the start of another attempt` {
        @Test
        fun `discards the incomplete event, guarding against an event joined from fragments of two attempts`() {
            append("id: 1\ndata: a\n\nid: 2\ndata: hal")

            buffer.startAttempt(isResumed = true)

            assertEquals("id: 2\ndata: whole\n\n", append("id: 2\ndata: whole\n\n"))
            assertEquals(2L, buffer.lastEventId)
            assertFalse(buffer.isOutOfOrder)
        }

        @Test
        fun `that resumes discards events from the first one that does not follow, guarding against repeated and lost events`() {
            for (wrong in listOf("id: 2\ndata: b\n\n", "id: 4\ndata: d\n\n", "event: error\ndata: e\n\n", "text\r\n\r\n")) {
                val resumed = ServerSentEventBuffer()
                append("id: 1\ndata: a\n\n", resumed)
                resumed.startAttempt(isResumed = true)

                val accepted = ": ping\n\nid: 2\ndata: b\n\n"
                assertEquals(accepted, append("$accepted${wrong}id: 3\ndata: c\n\n", resumed), wrong)
                assertTrue(resumed.isOutOfOrder, wrong)
                assertEquals("", append("id: 3\ndata: c\n\n", resumed), wrong)
                assertEquals(2L, resumed.lastEventId, wrong)
            }
        }

        @Test
        fun `that does not resume has no position, guarding against a resumption after events that were discarded`() {
            append("id: 1\ndata: a\n\n")

            buffer.startAttempt(isResumed = false)

            assertEquals(null, buffer.lastEventId)
        }

        @Test
        fun `that does not resume accepts events with any ids and without ids`() {
            buffer.startAttempt(isResumed = false)

            val events = "id: 7\ndata: a\n\nid: 9\ndata: b\n\ndata: c\n\n"

            assertEquals(events, append(events))
            assertEquals(9L, buffer.lastEventId)
        }
    }

    @Nested
    inner class `an incomplete event that is discarded` {
        @Test
        fun `frees its memory, guarding against events without end that fill the heap`() {
            append("id: 1\ndata: ${"a".repeat(100_000)}")
            assertTrue(buffer.extraBytes > 90_000)

            buffer.discardIncompleteEvent()

            assertEquals(0, buffer.extraBytes)
            assertEquals(0, buffer.pendingBytes)
        }

        @Test
        fun `still counts as begun, guarding against a stream that looks complete without it`() {
            append("id: 1\ndata: a")
            buffer.discardIncompleteEvent()
            assertTrue(buffer.hasIncompleteEvent)

            buffer.startAttempt(isResumed = false)

            assertFalse(buffer.hasIncompleteEvent)
        }
    }
}
