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
        vmId: String = "vm-$id",
        incarnation: Long = 10,
    ) = RouterIdentity(RouterId(id), VmId(vmId), RegionId("r"), ZoneId("z"), incarnation)

    private fun vm(
        id: String,
        vmId: String = "vm-$id",
        host: String = "10.0.0.$id",
        leaving: Boolean = false,
    ) = RouterVm(VmId(vmId), RouterId(id), RegionId("r"), ZoneId("z"), host, 7000, leaving)

    private fun locations(count: Int) = (0 until count).map { MemberLocation(RouterId("router-$it"), RegionId("region-${it % 10}")) }

    private fun applyVmList(
        atMs: Long,
        vararg vms: RouterVm,
    ) = table.onVmList(VmList(vms.toList(), emptyList(), atMs), atMs)

    @Nested
    inner class `a paused router` {
        @Test
        fun `is silent, and nothing is reclaimed from it while its VM is listed`() {
            applyVmList(0, vm("1"))
            table.onMessage(identity("1"), 100)
            val evidenceAfterMessage = table.evidence(VmId("vm-1"), 3_600)

            applyVmList(3_600_000, vm("1"))

            assertEquals(Evidence.HEARD_RECENTLY, evidenceAfterMessage)
            assertEquals(Evidence.SILENT, table.evidence(VmId("vm-1"), 3_600_000))
            assertTrue(table.membersFor(EvidenceUse.RECLAIM, 3_600_000).isEmpty())
            assertTrue(table.membersFor(EvidenceUse.FORWARDING, 3_600_000).isEmpty())
        }
    }

    @Nested
    inner class `a VM that left the list` {
        @Test
        fun `stays gone after a delayed message, an older list and a newer list that contain it`() {
            applyVmList(1_000, vm("1"))
            applyVmList(2_000)

            table.onMessage(identity("1"), 2_100)
            applyVmList(1_500, vm("1"))
            applyVmList(3_000, vm("1"))

            assertEquals(Evidence.GONE, table.evidence(VmId("vm-1"), 3_000))
        }
    }

    @Nested
    inner class `a VM that is listed as leaving` {
        @Test
        fun `gets no forwarded requests even if it sent a message recently`() {
            applyVmList(0, vm("1", leaving = true))
            table.onMessage(identity("1"), 10)

            assertEquals(Evidence.LEAVING, table.evidence(VmId("vm-1"), 20))
            assertTrue(table.membersFor(EvidenceUse.FORWARDING, 20).isEmpty())
        }
    }

    @Nested
    inner class `a VM whose address is listed for a new VM` {
        @Test
        fun `counts as replaced, and messages of the new VM are no evidence for it`() {
            applyVmList(0, vm("1", host = "10.0.0.9"))
            table.onMessage(identity("1"), 0)

            applyVmList(1_000, vm("1", host = "10.0.0.9"), vm("2", host = "10.0.0.9"))
            table.onMessage(identity("2"), 1_100)

            assertEquals(Evidence.REPLACED, table.evidence(VmId("vm-1"), 1_200))
            assertEquals(Evidence.HEARD_RECENTLY, table.evidence(VmId("vm-2"), 1_200))
        }
    }

    @Nested
    inner class `a router that has restarted` {
        @Test
        fun `counts as heard recently, and a late message of its earlier incarnation is ignored`() {
            applyVmList(0, vm("1"))
            table.onMessage(identity("1", incarnation = 11), 0)

            assertFalse(table.onMessage(identity("1", incarnation = 10), 100))
            assertEquals(Evidence.REPLACED, table.evidence(identity("1", incarnation = 10), 100))
            assertEquals(Evidence.HEARD_RECENTLY, table.evidence(identity("1", incarnation = 11), 100))
        }
    }

    @Nested
    inner class `neighbours of 600 routers in 10 regions` {
        private val members = locations(600)
        private val neighbours = members.associate { it.routerId to selectNeighbours(it, members, maxFullMeshRouters = 16) }

        @Test
        fun `are 8 to 20 per router and connect all running routers within 10 hops when one in five has failed`() {
            val failedRouters = members.filterIndexed { index, _ -> index % 5 == 3 }.map { it.routerId }.toSet()
            val reached = mutableSetOf(members.first().routerId)
            var frontier = reached.toSet()
            var hops = 0
            while (frontier.isNotEmpty()) {
                frontier = frontier.flatMap { neighbours.getValue(it) }.filter { it !in failedRouters && it !in reached }.toSet()
                reached += frontier
                if (frontier.isNotEmpty()) hops++
            }

            assertTrue(neighbours.values.all { it.size in 8..20 }, "numbers of neighbours: ${neighbours.values.map { it.size }.toSet()}")
            assertEquals(members.size - failedRouters.size, reached.size, "running routers that can be reached")
            assertTrue(hops <= 10, "the farthest router is $hops hops away")
        }
    }

    @Nested
    inner class `neighbours of a router in a fleet of 7` {
        @Test
        fun `are all other routers`() {
            val members = locations(7)

            assertEquals(
                members.drop(1).map { it.routerId }.toSet(),
                selectNeighbours(members.first(), members, maxFullMeshRouters = 16),
            )
        }
    }
}
