package org.lycheemount.backend

import io.ktor.utils.io.availableForRead
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.readLineStrict
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import java.io.IOException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class ReceiveBufferTest {
    private val buffer = ReceiveBuffer(MAX_BYTES.toLong())

    private suspend fun write(text: String) = buffer.write(text.encodeToByteArray(), text.length)

    @Nested
    inner class `a writer` {
        @Test
        fun `waits while the reader takes nothing, guarding against bodies without end that fill the heap`() =
            runTest {
                var writtenBytes = 0
                backgroundScope.launch {
                    while (true) {
                        write("x".repeat(PART_BYTES))
                        writtenBytes += PART_BYTES
                    }
                }
                runCurrent()

                assertTrue(writtenBytes <= MAX_BYTES + PART_BYTES, "$writtenBytes")
            }

        @Test
        fun `goes on once the reader has taken what waits`() =
            runTest {
                val writing = async { repeat(10) { write("x".repeat(MAX_BYTES)) } }
                val bytes = ByteArray(10 * MAX_BYTES)
                var count = 0
                while (count < bytes.size) count += buffer.readAvailable(bytes, count, bytes.size - count)

                writing.await()
            }

        @Test
        fun `goes on if the reader waits for more than fits, guarding against two sides that wait for each other`() =
            runTest {
                backgroundScope.launch { repeat(4) { write("x".repeat(MAX_BYTES)) } }

                assertTrue(buffer.awaitContent(4 * MAX_BYTES))
            }

        @Test
        fun `does not wait for a reader that has ended`() =
            runTest {
                val writing = async { write("x".repeat(2 * MAX_BYTES)) }
                runCurrent()
                buffer.cancel(CancellationException("closed"))

                writing.await()
            }
    }

    @Nested
    inner class `a reader` {
        @Test
        fun `gets lines that arrive in parts`() =
            runTest {
                val line = async { buffer.readLineStrict(LINE_BYTES) }
                runCurrent()
                write("first ")
                runCurrent()
                write("line\r\nnext")

                assertEquals("first line", line.await())
                assertEquals(4, buffer.availableForRead)
            }

        @Test
        fun `gets what was received before the end`() =
            runTest {
                write("last")
                buffer.end()
                assertFalse(buffer.isClosedForRead)
                val bytes = ByteArray(MAX_BYTES)

                assertEquals(4, buffer.readAvailable(bytes))
                assertTrue(buffer.isClosedForRead)
                assertEquals(-1, buffer.readAvailable(bytes))
            }

        @Test
        fun `gets the failure after a cancellation`() =
            runTest {
                val reading = async { runCatching { buffer.readAvailable(ByteArray(1)) } }
                runCurrent()
                buffer.cancel(IOException("Connection reset"))

                assertFailsWith<IOException> { reading.await().getOrThrow() }
            }
    }

    private companion object {
        private const val MAX_BYTES = 100
        private const val PART_BYTES = 30
        private const val LINE_BYTES = 1_000L
    }
}
