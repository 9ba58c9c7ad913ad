package org.lycheemount.standin

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.lycheemount.common.ModelId
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.platform.CommitOutcome
import org.lycheemount.platform.RouterVm
import org.lycheemount.platform.RowCheck
import org.lycheemount.platform.RowWrite
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableTransaction
import org.lycheemount.platform.VmList
import org.lycheemount.platform.WeightLoadPermit
import org.lycheemount.testing.FakeClock
import org.lycheemount.testing.LISTENER_HOST
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull

class PlatformStandInTest {
    private val clock = FakeClock()
    private val zoneId = ZoneId("z")
    private val router = RouterVm(VmId("vm"), RouterId("r"), RegionId("g"), zoneId, "127.0.0.1", 1)
    private val platform =
        startPlatformStandIn(
            PlatformStandInSettings(LISTENER_HOST, zonePorts = mapOf(zoneId to 0), vms = VmList(listOf(router), emptyList(), 0)),
            clock,
        )
    private val clients = platform.clients(callTimeoutMs = 5_000)

    @AfterEach
    fun close() {
        clients.close()
        platform.close()
    }

    private fun write(
        transactionId: String,
        key: String = "k",
        value: String? = "v",
        expectedVersion: Long = 0,
    ) = TableTransaction(transactionId, listOf(RowCheck(key, expectedVersion)), listOf(RowWrite(key, value)))

    private fun <T> responseOf(result: TableResult<T>): T = assertIs<TableResult.Response<T>>(result).value

    @Nested
    inner class `a commit` {
        @Test
        fun `takes effect once when its transaction is sent again`() =
            runBlocking<Unit> {
                val first = responseOf(clients.table.commit(write("t")))
                val second = responseOf(clients.table.commit(write("t")))
                val other = responseOf(clients.table.commit(write("u")))

                assertEquals(first, second)
                assertIs<CommitOutcome.Committed>(first)
                assertEquals("v", assertIs<CommitOutcome.Conflict>(other).current.single().value)
                assertEquals(1, platform.table.commitCount)
            }

        @Test
        fun `whose response is lost is unknown and resolved by its transaction id`() =
            runBlocking<Unit> {
                platform.changeFaults { copy(dropNextResponses = 1) }

                val lost = clients.table.commit(write("t"))
                val status = responseOf(clients.table.findTransaction("t"))

                assertIs<TableResult.Unknown>(lost)
                assertIs<CommitOutcome.Committed>(status.outcome)
                assertNull(responseOf(clients.table.findTransaction("never")).outcome)
            }

        @Test
        fun `to a hanging table is unknown, while a read is unavailable`() =
            runBlocking<Unit> {
                platform.changeFaults { copy(hanging = true) }

                assertIs<TableResult.Unknown>(clients.table.commit(write("t")))
                assertIs<TableResult.Unavailable>(clients.table.read(listOf("k")))
            }

        @Test
        fun `is unavailable without effect when the platform is down or stopped`() =
            runBlocking<Unit> {
                platform.changeFaults { copy(down = true) }
                val down = clients.table.commit(write("t"))
                platform.close()
                val stopped = clients.table.commit(write("t"))

                assertIs<TableResult.Unavailable>(down)
                assertIs<TableResult.Unavailable>(stopped)
                assertEquals(0, platform.table.commitCount)
            }

        @Test
        fun `beyond the rate limit is refused without effect`() =
            runBlocking<Unit> {
                platform.changeFaults { copy(writesPerSecond = 2) }

                val results = (1..4).map { clients.table.commit(write("t$it", key = "k$it")) }
                clock.advance(1_000)
                val later = clients.table.commit(write("t3", key = "k3"))

                assertEquals(2, results.count { it is TableResult.Unavailable })
                assertIs<TableResult.Response<CommitOutcome>>(later)
                assertEquals(3, platform.table.commitCount)
            }
    }

    @Nested
    inner class `a partition of one zone from the platform` {
        @Test
        fun `makes only the listener of that zone refuse calls`() =
            runBlocking<Unit> {
                platform.changeFaults { copy(partitionedZones = setOf(zoneId)) }

                platform.clients(zoneId).use { assertIs<TableResult.Unavailable>(it.table.read(listOf("k"))) }
                responseOf(clients.table.read(listOf("k")))
            }
    }

    @Nested
    inner class `a restored table` {
        @Test
        fun `contains the rows of its copy`() =
            runBlocking<Unit> {
                clients.table.commit(write("t", value = "old"))
                platform.table.copy("backup")
                clients.table.commit(write("u", value = "new", expectedVersion = 1))
                platform.table.restore("backup")

                assertEquals("old", responseOf(clients.table.scan("k")).rows.single().value)
            }
    }

    @Nested
    inner class `the VM list` {
        @Test
        fun `contains a removed VM until its lag has passed`() =
            runBlocking<Unit> {
                platform.changeFaults { copy(vmListLagMs = 30_000) }
                clock.advance(60_000)
                platform.vms.remove(VmId("vm"))
                clock.advance(29_999)
                val before = responseOf(clients.vmDirectory.list())
                clock.advance(1)
                val after = responseOf(clients.vmDirectory.list())

                assertEquals(listOf(1, 0), listOf(before, after).map { it.routers.size })
                assertEquals(clock.wallClockMs(), after.asOfTableTimeMs)
            }
    }

    @Nested
    inner class `the object store and the weight store` {
        @Test
        fun `keep bytes under keys with slashes and limit the rate of loads`() =
            runBlocking<Unit> {
                platform.changeFaults { copy(weightLoadsPerMinute = 1) }
                val bytes = byteArrayOf(0, 1, -1)
                responseOf(clients.objectStore.put("a/b c", bytes))

                assertContentEquals(bytes, responseOf(clients.objectStore.get("a/b c")))
                assertNull(responseOf(clients.objectStore.get("missing")))
                assertIs<WeightLoadPermit.Granted>(responseOf(clients.weightStore.requestLoad(ModelId("m"), "1")))
                assertIs<WeightLoadPermit.RateLimited>(responseOf(clients.weightStore.requestLoad(ModelId("m"), "1")))
            }
    }
}
