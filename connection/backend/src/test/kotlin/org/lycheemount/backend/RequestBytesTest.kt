package org.lycheemount.backend

import org.junit.jupiter.api.Nested
import java.io.ByteArrayOutputStream
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals

class RequestBytesTest {
    private val random = Random(SEED)

    /** Takes a random count of bytes at a time. */
    private fun readAll(request: RequestBytes): ByteArray {
        val taken = ByteArrayOutputStream()
        while (true) {
            val remaining = request.remaining() ?: return taken.toByteArray()
            val bytes = ByteArray(random.nextInt(1, remaining.remaining() + 1))
            remaining.get(bytes)
            taken.write(bytes)
        }
    }

    @Nested
    inner class `the bytes of a request` {
        @Test
        fun `are the head and the body in order, whatever is taken at a time`() {
            val piece = RequestBytes.PIECE_BYTES
            val sizes = listOf(0, 1, 100, piece - 101, piece - 100, piece - 99, piece, 3 * piece - 100, 3 * piece, 5 * piece + 1)
            val heads = listOf(100, piece, piece + 1)

            for (head in heads.map(random::nextBytes)) {
                for (body in sizes.map(random::nextBytes)) {
                    assertContentEquals(head + body, readAll(RequestBytes(head, body)), "${head.size} + ${body.size} bytes")
                }
            }
        }

        @Test
        fun `end once`() {
            val request = RequestBytes(ByteArray(1), ByteArray(0))
            readAll(request)

            assertEquals(null, request.remaining())
        }
    }

    private companion object {
        private const val SEED = 1
    }
}
