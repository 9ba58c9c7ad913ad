package org.lycheemount.quarantine

import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.testing.FakeClock
import org.lycheemount.testing.FakeEventLog
import org.lycheemount.testing.FakeTableService
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class ProbePermitsTest {
    private val clock = FakeClock()
    private val table = FakeTableService(clock)

    private fun permits(number: Int): ProbePermits {
        val identity = RouterIdentity(RouterId("r$number"), VmId("vm$number"), RegionId("r"), ZoneId("z"), incarnation = 1)
        return ProbePermits(table, identity, FakeEventLog()) { clock.monotonicMs() }
    }

    @Nested
    inner class `a request with two doubtful segments` {
        @Test
        fun `leaves the permit of one if there is none for the other, guarding against a permit that no request uses`() =
            runTest {
                val ownPermits = permits(1)
                val otherPermits = permits(2)
                assertNull(otherPermits.take(setOf(SECOND)))

                assertEquals(SECOND, ownPermits.take(setOf(FIRST, SECOND)))
                assertNull(otherPermits.take(setOf(FIRST)))
            }

        @Test
        fun `takes both permits though another router took each of them last, guarding against refusals for rows that are out of date`() =
            runTest {
                val ownPermits = permits(1)
                val otherPermits = permits(2)
                assertNull(otherPermits.take(setOf(FIRST)))
                clock.nowMs += ProbePermits.INTERVAL_MS
                assertNull(otherPermits.take(setOf(SECOND)))
                clock.nowMs += ProbePermits.INTERVAL_MS

                assertNull(ownPermits.take(setOf(FIRST, SECOND)))
                assertEquals(FIRST, otherPermits.take(setOf(FIRST)))
            }

        @Test
        fun `is sent after the rows of earlier permits were removed, guarding against conflicts about absent rows without end`() =
            runTest {
                val permits = permits(1)
                val rows = table.copyRows()
                assertNull(permits.take(setOf(FIRST, SECOND)))
                table.restore(rows)
                clock.nowMs += ProbePermits.INTERVAL_MS

                assertNull(permits.take(setOf(FIRST, SECOND)))
            }
    }

    private companion object {
        private val FIRST = SegmentId(1)
        private val SECOND = SegmentId(2)
    }
}
