package org.lycheemount.caller.routed

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class ServerSentEventBufferTest {
    private val buffer = ServerSentEventBuffer()

    private fun append(text: String): String = text.encodeToByteArray().let { buffer.append(it, it.size) }.decodeToString()

    @Nested
    inner class `events that arrive in pieces` {
        @Test
        fun `are held back until they are whole, guarding against a piece that another run repeats`() {
            assertEquals("", append("id: 1\nda"))
            assertEquals("id: 1\ndata: a\n\n", append("ta: a\n\nid: 2\ndata"))
            assertEquals(1L, buffer.lastEventId)
            assertEquals("id: 2\ndata: b\n\n", append(": b\n\n"))
            assertEquals(2L, buffer.lastEventId)
            assertEquals(2, buffer.eventCount)
            assertEquals(0, buffer.pendingBytes)
        }

        @Test
        fun `end with an empty line also when lines end with CR LF`() {
            assertEquals("id: 7\r\ndata: x\r\n\r\n", append("id: 7\r\ndata: x\r\n\r\n"))
            assertEquals(7L, buffer.lastEventId)
        }

        @Test
        fun `are found one byte at a time`() {
            val text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

            val completeEvents = text.map { append(it.toString()) }.filter { it.isNotEmpty() }

            assertEquals(listOf("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"), completeEvents)
        }
    }

    @Nested
    inner class `another run` {
        @Test
        fun `forgets the event that broke off, guarding against joined pieces of two runs`() {
            append("id: 1\ndata: a\n\nid: 2\ndata: hal")

            buffer.startAttempt()

            assertEquals("id: 2\ndata: whole\n\n", append("id: 2\ndata: whole\n\n"))
            assertEquals(2L, buffer.firstEventId)
        }
    }
}
