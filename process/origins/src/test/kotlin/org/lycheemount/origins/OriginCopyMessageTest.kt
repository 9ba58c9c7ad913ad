package org.lycheemount.origins

import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class OriginCopyMessageTest {
    private val copies = listOf(OriginCopy(StreamKey(1), V1, atMs = 700), OriginCopy(StreamKey(-2), V2, atMs = 900, isUnwritten = true))

    @Nested
    inner class `a message` {
        @Test
        fun `gives the receiver the same streams by its own clock`() {
            val payload = encodeCopies(copies, nowMs = 1_000)

            val received = assertNotNull(decodeCopies(payload, nowMs = 50_000))

            assertEquals(copies.map { it.copy(atMs = it.atMs + 49_000) }, received)
        }

        @Test
        fun `that begins in the future of its sender counts as of now`() {
            val payload = encodeCopies(copies, nowMs = 0)

            val received = assertNotNull(decodeCopies(payload, nowMs = 50_000))

            assertEquals(listOf(50_000L, 50_000L), received.map { it.atMs })
        }

        @Test
        fun `that is cut off or changed is unreadable, or another message, guarding against exceptions that end the link to the peer`() {
            val payload = encodeCopies(copies, nowMs = 1_000)
            val random = Random(1)

            for (length in 0 until payload.size) assertNull(decodeCopies(payload.copyOf(length), nowMs = 1_000), "$length bytes")
            repeat(CHANGED_MESSAGES) {
                val changed = payload.copyOf().also { it[random.nextInt(it.size)] = random.nextInt().toByte() }
                decodeCopies(changed, nowMs = 1_000)
            }
        }
    }

    private companion object {
        private const val CHANGED_MESSAGES = 20_000
    }
}
