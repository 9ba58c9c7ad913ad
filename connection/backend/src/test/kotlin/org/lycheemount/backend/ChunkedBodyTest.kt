package org.lycheemount.backend

import io.ktor.utils.io.ByteReadChannel
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import java.io.IOException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse

class ChunkedBodyTest {
    /** Reads all of [bytes], after which the connection ends, as a body in chunks. */
    private fun read(bytes: String): Pair<ChunkedBody, Result<String>> {
        val body = ChunkedBody(ByteReadChannel(bytes.encodeToByteArray()))
        return body to runBlocking { runCatching { body.readUpTo(MAX_BYTES).decodeToString() } }
    }

    private fun assertBroken(bytes: String) {
        val (body, result) = read(bytes)

        assertFalse(body.isComplete, "$bytes: $result")
        assertFailsWith<IOException>(bytes) { result.getOrThrow() }
    }

    @Nested
    inner class `a body in chunks` {
        @Test
        fun `may have extensions and trailers`() {
            val (body, result) = read("5;name=value\r\nhello\r\nA\r\n wide worl\r\n01\r\nd\r\n0\r\nX-Trailer: 1\r\n\r\n")

            assertEquals("hello wide world", result.getOrThrow())
            assertEquals(true, body.isComplete)
        }

        @Test
        fun `is not complete if the connection ends at any byte before its last, guarding against a stream that ends early`() {
            for (whole in listOf(
                "5\r\nhello\r\n0\r\n\r\n",
                "0005\r\nhello\r\n0000\r\nX-Trailer: 1\r\n\r\n",
                "1f\r\n${"x".repeat(31)}\r\n0\r\n\r\n",
            )) {
                for (length in 1 until whole.length) assertBroken(whole.take(length))
            }
        }

        @Test
        fun `is not complete if a chunk size only looks like the last one, guarding against wrong bytes that end a stream`() {
            for (size in listOf("-0", "+0", "0x0", "0 0", "", " ", "\r", "0\r0")) {
                assertBroken("5\r\nhello\r\n$size\r\n\r\n")
            }
        }

        @Test
        fun `is not complete if a chunk is longer than its size`() = assertBroken("4\r\nhello\r\n0\r\n\r\n")
    }

    private companion object {
        private const val MAX_BYTES = 1_024
    }
}
