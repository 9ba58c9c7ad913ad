package org.lycheemount.platform

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

@OptIn(ExperimentalCoroutinesApi::class)
class RowFeedTest {
    private class Listener(
        override val nextCallWithinMs: Long? = null,
    ) : RowListener {
        override fun onAllRows(rows: List<StoreRow>) = Unit

        override fun onChangedRows(rows: List<StoreRow>) = Unit

        override fun onResponded() = Unit

        override fun onFailed(detail: String) = Unit
    }

    /** Returns the times of the first three calls of a feed that is followed, whose calls take [callMs] and succeed or fail. */
    private fun callTimes(
        callMs: Long,
        succeeds: Boolean,
        listener: RowListener = Listener(),
    ): List<Long> {
        val times = ArrayList<Long>()
        runTest {
            val feed =
                object : RowFeed {
                    override val lastResponseTableTimeMs: Long? get() = null

                    override suspend fun poll(listener: RowListener): Boolean {
                        times += currentTime
                        delay(callMs)
                        return succeeds
                    }
                }
            val job = launch { feed.follow(listener, pollIntervalMs = 1_000, retryIntervalMs = 400) }
            while (times.size < 3) delay(1)
            job.cancel()
        }
        return times
    }

    @Nested
    inner class `the next call` {
        @Test
        fun `follows a successful one after the poll interval`() =
            assertEquals(listOf(0L, 1_004L, 2_008L), callTimes(callMs = 4, succeeds = true))

        @Test
        fun `follows sooner if the listener needs it`() =
            assertEquals(listOf(0L, 204L, 408L), callTimes(callMs = 4, succeeds = true, Listener(nextCallWithinMs = 200)))

        @Test
        fun `does not follow later if the listener would accept that`() =
            assertEquals(listOf(0L, 1_004L, 2_008L), callTimes(callMs = 4, succeeds = true, Listener(nextCallWithinMs = 9_000)))

        @Test
        fun `follows a refused one after the retry interval, so that an outage is not made worse`() =
            assertEquals(listOf(0L, 400L, 800L), callTimes(callMs = 1, succeeds = false))

        @Test
        fun `follows one that timed out at once, so that the return of the store is noticed without a second wait`() =
            assertEquals(listOf(0L, 800L, 1_600L), callTimes(callMs = 800, succeeds = false))
    }
}
