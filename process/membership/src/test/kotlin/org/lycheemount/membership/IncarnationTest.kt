package org.lycheemount.membership

import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.lycheemount.common.DiscardingEventLog
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.testing.FakeClock
import org.lycheemount.testing.FakeTableService
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class IncarnationTest {
    private val table = FakeTableService(FakeClock())

    private suspend fun start(
        wallClockMs: Long,
        vmId: String = "vm",
    ) = awaitIncarnation(table, VmId(vmId), wallClockMs, DiscardingEventLog)

    @Nested
    inner class `a process that restarts after the time of day was stepped back` {
        @Test
        fun `has a greater incarnation, guarding against peers that ignore it as outdated`() =
            runTest {
                val predecessor = start(wallClockMs = 50_000)
                val successor = start(wallClockMs = 45_000)
                val peers = MembershipTable(identity(1, "other", "other-vm"))

                assertTrue(peers.onMessage(identity(predecessor), nowMs = 1_000))
                assertTrue(peers.onMessage(identity(successor), nowMs = 2_000))
                assertFalse(peers.onMessage(identity(predecessor), nowMs = 3_000))
            }

        @Test
        fun `has one on each of several restarts, guarding against a bound that holds for one step only`() =
            runTest {
                val incarnations = listOf(50_000L, 45_000L, 40_000L, 47_000L, 60_000L, 30_000L).map { start(it) }

                assertEquals(incarnations.sorted().distinct(), incarnations)
            }

        @Test
        fun `has one although the response to a write was lost, guarding against a write that takes effect unseen`() =
            runTest {
                val predecessor = start(wallClockMs = 50_000)
                table.dropNextResponses = 2

                assertTrue(start(wallClockMs = 45_000) > predecessor)
            }
    }

    @Nested
    inner class `a process whose predecessor is missing in the table` {
        @Test
        fun `has a greater incarnation by the time of day, guarding against a table that was restored from an older copy`() =
            runTest {
                val older = table.copyRows()
                val predecessor = start(wallClockMs = 50_000)
                table.restore(older)

                assertTrue(start(wallClockMs = 55_000) > predecessor)
            }
    }

    @Nested
    inner class `a process that starts while the table is down` {
        @Test
        fun `waits for the table, guarding against an incarnation that its predecessor may exceed`() =
            runTest {
                val predecessor = start(wallClockMs = 50_000)
                table.isAvailable = false
                val successor = async { start(wallClockMs = 45_000) }
                delay(60_000)

                assertFalse(successor.isCompleted)
                table.isAvailable = true
                assertTrue(successor.await() > predecessor)
            }
    }

    @Nested
    inner class `processes on different VMs` {
        @Test
        fun `do not raise the incarnations of each other, guarding against a row that all of them share`() =
            runTest {
                start(wallClockMs = 50_000, vmId = "vm-1")

                assertEquals(45_000, start(wallClockMs = 45_000, vmId = "vm-2"))
            }
    }

    private fun identity(
        incarnation: Long,
        routerId: String = "router",
        vmId: String = "vm",
    ) = RouterIdentity(RouterId(routerId), VmId(vmId), RegionId("region"), ZoneId("zone"), incarnation)
}
