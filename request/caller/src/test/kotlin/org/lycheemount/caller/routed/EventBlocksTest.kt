package org.lycheemount.caller.routed

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class EventBlocksTest {
    private val blocks = EventBlocks()

    private fun add(text: String): String = text.encodeToByteArray().let { blocks.add(it, it.size) }.decodeToString()

    @Nested
    inner class `events that arrive in pieces` {
        @Test
        fun `are held back until they are whole, guarding against a piece that another run repeats`() {
            assertEquals("", add("id: 1\nda"))
            assertEquals("id: 1\ndata: a\n\n", add("ta: a\n\nid: 2\ndata"))
            assertEquals(1L, blocks.lastEventId)
            assertEquals("id: 2\ndata: b\n\n", add(": b\n\n"))
            assertEquals(2L, blocks.lastEventId)
            assertEquals(2, blocks.eventCount)
            assertEquals(0, blocks.pendingBytes)
        }

        @Test
        fun `end with an empty line also when lines end with CR LF`() {
            assertEquals("id: 7\r\ndata: x\r\n\r\n", add("id: 7\r\ndata: x\r\n\r\n"))
            assertEquals(7L, blocks.lastEventId)
        }

        @Test
        fun `are found one byte at a time`() {
            val text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

            val whole = text.map { add(it.toString()) }.filter { it.isNotEmpty() }

            assertEquals(listOf("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"), whole)
        }
    }

    @Nested
    inner class `another run` {
        @Test
        fun `forgets the event that broke off, guarding against joined pieces of two runs`() {
            add("id: 1\ndata: a\n\nid: 2\ndata: hal")

            blocks.startRun()

            assertEquals("id: 2\ndata: whole\n\n", add("id: 2\ndata: whole\n\n"))
            assertEquals(2L, blocks.firstEventId)
        }
    }
}
