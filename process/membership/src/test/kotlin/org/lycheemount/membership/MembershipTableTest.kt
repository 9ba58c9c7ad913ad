package org.lycheemount.membership

import org.junit.jupiter.api.Nested
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.platform.RouterVm
import org.lycheemount.platform.VmList
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class MembershipTableTest {
    private val table = MembershipTable(identity("self"))

    private fun identity(
        id: String,
        vm: String = "vm-$id",
        incarnation: Long = 10,
    ) = RouterIdentity(RouterId(id), VmId(vm), RegionId("r"), ZoneId("z"), incarnation)

    private fun vm(
        id: String,
        vm: String = "vm-$id",
        host: String = "10.0.0.$id",
        leaving: Boolean = false,
    ) = RouterVm(VmId(vm), RouterId(id), RegionId("r"), ZoneId("z"), host, 7000, leaving)

    private fun applyList(
        atMs: Long,
        vararg vms: RouterVm,
    ) = table.onVmList(VmList(vms.toList(), emptyList(), atMs), atMs)

    @Nested
    inner class `a paused router` {
        @Test
        fun `is silent but never reclaimed while its VM is listed`() {
            applyList(0, vm("1"))
            table.onMessage(identity("1"), 100)
            val fresh = table.evidence(VmId("vm-1"), 3_600)

            applyList(3_600_000, vm("1"))

            assertEquals(Evidence.HEARD_RECENTLY, fresh)
            assertEquals(Evidence.SILENT, table.evidence(VmId("vm-1"), 3_600_000))
            assertTrue(table.membersFor(EvidenceUse.RECLAIM, 3_600_000).isEmpty())
            assertTrue(table.membersFor(EvidenceUse.FORWARDING, 3_600_000).isEmpty())
        }
    }

    @Nested
    inner class `a VM that left the list` {
        @Test
        fun `stays gone although a delayed message or an older list shows it again`() {
            applyList(1_000, vm("1"))
            applyList(2_000)

            table.onMessage(identity("1"), 2_100)
            applyList(1_500, vm("1"))
            applyList(3_000, vm("1"))

            assertEquals(Evidence.GONE, table.evidence(VmId("vm-1"), 3_000))
        }

        @Test
        fun `is leaving before that and gets no forwarded requests`() {
            applyList(0, vm("1", leaving = true))
            table.onMessage(identity("1"), 10)

            assertEquals(Evidence.LEAVING, table.evidence(VmId("vm-1"), 20))
            assertTrue(table.membersFor(EvidenceUse.FORWARDING, 20).isEmpty())
        }
    }

    @Nested
    inner class `an address that is reused` {
        @Test
        fun `never counts messages of the new VM for the old one`() {
            applyList(0, vm("1", host = "10.0.0.9"))
            table.onMessage(identity("1"), 0)

            applyList(1_000, vm("1", host = "10.0.0.9"), vm("2", host = "10.0.0.9"))
            table.onMessage(identity("2"), 1_100)

            assertEquals(Evidence.REPLACED, table.evidence(VmId("vm-1"), 1_200))
            assertEquals(Evidence.HEARD_RECENTLY, table.evidence(VmId("vm-2"), 1_200))
        }

        @Test
        fun `keeps the newer incarnation after a late message of the old process`() {
            applyList(0, vm("1"))
            table.onMessage(identity("1", incarnation = 11), 0)

            assertFalse(table.onMessage(identity("1", incarnation = 10), 100))
            assertEquals(Evidence.REPLACED, table.evidence(identity("1", incarnation = 10), 100))
            assertEquals(Evidence.HEARD_RECENTLY, table.evidence(identity("1", incarnation = 11), 100))
        }
    }

    @Nested
    inner class `neighbours of 600 routers in 10 regions` {
        private val members = (0 until 600).map { MemberLocation(RouterId("router-$it"), RegionId("region-${it % 10}")) }
        private val neighbours = members.associate { it.routerId to selectNeighbours(it, members, maxFullMeshRouters = 16) }

        @Test
        fun `are few and connect all live routers although one in five has failed`() {
            val dead = members.filterIndexed { index, _ -> index % 5 == 3 }.map { it.routerId }.toSet()
            val reached = mutableSetOf(members.first().routerId)
            var frontier = reached.toSet()
            var hops = 0
            while (frontier.isNotEmpty()) {
                frontier = frontier.flatMap { neighbours.getValue(it) }.filter { it !in dead && it !in reached }.toSet()
                reached += frontier
                if (frontier.isNotEmpty()) hops++
            }

            assertTrue(neighbours.values.all { it.size in 8..20 }, "sizes ${neighbours.values.map { it.size }.toSet()}")
            assertEquals(members.size - dead.size, reached.size)
            assertTrue(hops <= 10, "$hops hops")
        }

        @Test
        fun `are all other routers in a small fleet`() {
            val smallFleet = members.take(7)

            assertEquals(
                smallFleet.drop(1).map { it.routerId }.toSet(),
                selectNeighbours(smallFleet.first(), smallFleet, maxFullMeshRouters = 16),
            )
        }
    }
}
