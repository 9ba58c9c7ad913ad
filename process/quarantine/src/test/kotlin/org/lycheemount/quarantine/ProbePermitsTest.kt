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
import org.lycheemount.testing.FakeStoreEras
import org.lycheemount.testing.FakeTableService
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class ProbePermitsTest {
    private val clock = FakeClock()
    private val table = FakeTableService(clock)

    private val eras = FakeStoreEras()

    private fun permits(number: Int): ProbePermits {
        val identity = RouterIdentity(RouterId("r$number"), VmId("vm$number"), RegionId("r"), ZoneId("z"), incarnation = 1)
        return ProbePermits(table, identity, clock, FakeEventLog(), eras) { clock.monotonicMs() }
    }

    private fun passInterval() {
        clock.nowMs += ProbePermits.INTERVAL_MS
    }

    /** Permits of two routers that have been running for an interval since the first era of the store began. */
    private fun permitsInFirstEra(): Pair<ProbePermits, ProbePermits> {
        eras.notice(table.era)
        val permits = permits(1) to permits(2)
        permits.toList().forEach { it.onStoreEra() }
        passInterval()
        return permits
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
                passInterval()
                assertNull(otherPermits.take(setOf(SECOND)))
                passInterval()

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
                passInterval()

                assertNull(permits.take(setOf(FIRST, SECOND)))
            }
    }

    @Nested
    inner class `after the store has come back from an older copy` {
        @Test
        fun `nothing is sent on a permit that another router took in the lost time, guarding against two requests in one interval`() =
            runTest {
                val (ownPermits, otherPermits) = permitsInFirstEra()
                val copy = table.copy()
                assertNull(otherPermits.take(setOf(FIRST)))
                clock.nowMs += 100
                table.comeBackFrom(copy)
                eras.notice(table.era)

                assertEquals(FIRST, ownPermits.take(setOf(FIRST)))
                passInterval()
                assertNull(ownPermits.take(setOf(FIRST)))
            }

        @Test
        fun `nothing is sent on a version that was given out again, guarding against a check that another permit passes`() =
            runTest {
                val (ownPermits, otherPermits) = permitsInFirstEra()
                val copy = table.copy()
                assertNull(ownPermits.take(setOf(FIRST)))
                table.comeBackFrom(copy)
                eras.notice(table.era)
                listOf(ownPermits, otherPermits).forEach { it.onStoreEra() }
                passInterval()
                assertNull(otherPermits.take(setOf(FIRST)))

                assertEquals(FIRST, ownPermits.take(setOf(FIRST)))
            }

        @Test
        fun `nothing is sent by a router that has just started, guarding against lost permits that it cannot know of`() =
            runTest {
                eras.notice(table.era)
                val permits = permits(1)

                assertEquals(FIRST, permits.take(setOf(FIRST)))
                passInterval()
                assertNull(permits.take(setOf(FIRST)))
            }
    }

    private companion object {
        private val FIRST = SegmentId(1)
        private val SECOND = SegmentId(2)
    }
}
