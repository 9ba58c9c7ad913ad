package org.lycheemount.platform.http

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull

class ProgressTimeoutsTest {
    /** Reads a body of [partCount] parts of [partBytes] bytes, one each [intervalMs]; it does not end if [partCount] is null. */
    private suspend fun readBody(
        partCount: Int?,
        partBytes: Int,
        intervalMs: Long,
    ): BodyRead {
        var parts = 0
        return readWhileProgressing(TIMEOUT_MS, MAX_BYTES) {
            if (parts == partCount) return@readWhileProgressing -1
            delay(intervalMs)
            parts++
            partBytes
        }
    }

    @Nested
    inner class `a body` {
        @Test
        fun `that arrives slowly is read to its end, guarding against large rows that never arrive over a slow link`() =
            runTest {
                val read = readBody(partCount = 100, partBytes = 4_096, intervalMs = TIMEOUT_MS - 1)

                assertEquals(409_600, assertIs<BodyRead.Complete>(read).bytes.size)
            }

        @Test
        fun `of which no further part arrives is given up after one timeout`() =
            runTest {
                var parts = 0
                val read =
                    readWhileProgressing(TIMEOUT_MS, MAX_BYTES) {
                        if (parts++ == 3) awaitCancellation()
                        5_000
                    }

                assertEquals(15_000, assertIs<BodyRead.Stalled>(read).receivedBytes)
                assertEquals(TIMEOUT_MS, testScheduler.currentTime)
            }

        @Test
        fun `that arrives byte by byte without end is given up after one timeout`() =
            runTest {
                assertIs<BodyRead.Stalled>(readBody(partCount = null, partBytes = 1, intervalMs = 1))
                assertEquals(TIMEOUT_MS, testScheduler.currentTime)
            }

        @Test
        fun `that exceeds the limit is given up`() =
            runTest {
                assertIs<BodyRead.TooLong>(readBody(partCount = null, partBytes = 8_192, intervalMs = 0))
            }

        @Test
        fun `whose length exceeds the limit is not read`() =
            runTest {
                assertIs<BodyRead.TooLong>(readWhileProgressing(TIMEOUT_MS, MAX_BYTES, MAX_BYTES + 1L) { awaitCancellation() })
            }
    }

    @Nested
    inner class `a call` {
        @Test
        fun `that has started may take longer than the timeout`() =
            runTest {
                val result =
                    withTimeoutUntilStarted(TIMEOUT_MS) { onStarted ->
                        delay(TIMEOUT_MS - 1)
                        onStarted()
                        delay(10 * TIMEOUT_MS)
                        "result"
                    }

                assertEquals("result", result)
            }

        @Test
        fun `that does not start in time is cancelled`() =
            runTest {
                assertNull(withTimeoutUntilStarted(TIMEOUT_MS) { awaitCancellation() })
                assertEquals(TIMEOUT_MS, testScheduler.currentTime)
            }

        @Test
        fun `that ends without starting returns its result`() =
            runTest {
                assertEquals("failed", withTimeoutUntilStarted(TIMEOUT_MS) { "failed" })
            }
    }

    private companion object {
        private const val TIMEOUT_MS = 800L
        private const val MAX_BYTES = 1_048_576
    }
}
