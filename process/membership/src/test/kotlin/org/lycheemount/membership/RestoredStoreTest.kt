package org.lycheemount.membership

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.lycheemount.common.DiscardingEventLog
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.platform.RouterVm
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.VmList
import org.lycheemount.testing.FakeClock
import org.lycheemount.testing.FakeRowFeed
import org.lycheemount.testing.FakeStoreEras
import org.lycheemount.testing.FakeTableService
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** The store comes back from a copy that is older than the start of the routers. */
class RestoredStoreTest {
    private val clock = FakeClock()
    private val table = FakeTableService(clock)
    private val eras = FakeStoreEras().also { it.notice(table.era) }

    /** Time of the table minus that of [clock], in milliseconds. */
    private var tableTimeStepMs = 0L

    private fun restoredTest(body: suspend TestScope.(CoroutineScope) -> Unit) =
        runTest {
            val scope = CoroutineScope(coroutineContext + Job())
            try {
                body(scope)
            } finally {
                scope.cancel()
            }
        }

    private fun comeBackFrom(copy: FakeTableService.Copy) {
        table.comeBackFrom(copy)
        eras.notice(table.era)
    }

    @Nested
    inner class `the list of routers` {
        private fun directory(number: Int) =
            TableVmDirectory(
                table,
                FakeRowFeed(table, { clock.wallClockMs() + tableTimeStepMs }),
                eras,
                RouterVm(VmId("vm$number"), RouterId("r$number"), RegionId("r"), ZoneId("z"), "127.0.0.1", number),
                DiscardingEventLog,
            )

        private suspend fun TableVmDirectory.vms(): List<String> = vmList().routers.map { it.vmId.value }

        private suspend fun TableVmDirectory.vmList(): VmList = assertIs<TableResult.Response<VmList>>(list()).value

        @Test
        fun `has a router whose row was lost, guarding against routers that start later and never find it`() =
            runTest {
                val copy = table.copy()
                val first = directory(1)
                first.vms()
                comeBackFrom(copy)

                first.vms()

                assertEquals(listOf("vm1", "vm2"), directory(2).vms())
            }

        @Test
        fun `keeps routers whose rows were lost, guarding against a fleet that counts too few routers`() =
            runTest {
                val copy = table.copy()
                val first = directory(1)
                val second = directory(2)
                second.vms()
                first.vms()
                comeBackFrom(copy)

                assertEquals(listOf("vm1", "vm2"), first.vms())
            }

        @Test
        fun `has new routers after the time of the table went back, guarding against peers that stay unknown until it catches up`() =
            runTest {
                val copy = table.copy()
                val first = directory(1)
                val membership = MembershipTable(RouterIdentity(RouterId("r1"), VmId("vm1"), RegionId("r"), ZoneId("z"), incarnation = 1))
                membership.onVmList(first.vmList(), clock.monotonicMs())
                tableTimeStepMs = -60_000
                comeBackFrom(copy)
                directory(2).vms()

                membership.onVmList(first.vmList(), clock.monotonicMs())

                assertEquals(Evidence.SILENT, membership.evidence(VmId("vm2"), clock.monotonicMs()))
            }

        @Test
        fun `gets no further write of a router in calm times`() =
            runTest {
                val first = directory(1)
                repeat(3) { first.vms() }

                assertEquals(1, table.commitCount)
            }
    }

    @Nested
    inner class `the shared secret` {
        private fun CoroutineScope.keep(
            secret: ByteArray,
            onReplaced: (ByteArray) -> Unit = {},
        ) = launch { keepFleetSecret(table, eras, secret, DiscardingEventLog, onReplaced) }

        @Test
        fun `is the same for a router that starts when the row was lost, guarding against a fleet that finds no peers`() =
            restoredTest { scope ->
                val copy = table.copy()
                val secret = awaitFleetSecret(table)
                scope.keep(secret)
                delay(1)
                comeBackFrom(copy)
                delay(1)

                assertContentEquals(secret, awaitFleetSecret(table))
            }

        @Test
        fun `is written again once a silent table responds`() =
            restoredTest { scope ->
                val copy = table.copy()
                val secret = awaitFleetSecret(table)
                scope.keep(secret)
                delay(1)
                comeBackFrom(copy)
                table.isAvailable = false
                delay(5_000)
                table.isAvailable = true
                delay(1_000)

                assertContentEquals(secret, awaitFleetSecret(table))
            }

        @Test
        fun `is replaced by the one that a router has written since, guarding against a fleet in two parts`() =
            restoredTest { scope ->
                val copy = table.copy()
                val secret = awaitFleetSecret(table)
                var held = secret
                scope.keep(secret) { held = it }
                delay(1)
                table.comeBackFrom(copy)
                val other = awaitFleetSecret(table)
                eras.notice(table.era)
                delay(1)

                assertContentEquals(other, held)
                assertContentEquals(other, awaitFleetSecret(table))
            }

        @Test
        fun `is written again after a return that was noticed before it is kept, guarding against a row lost during the start`() =
            restoredTest { scope ->
                val copy = table.copy()
                val secret = awaitFleetSecret(table)
                comeBackFrom(copy)
                scope.keep(secret)
                delay(1)

                assertContentEquals(secret, awaitFleetSecret(table))
            }
    }

    @Nested
    inner class `the incarnation of a process` {
        @Test
        fun `is lower than that of the next one after a step of the clock, guarding against peers that ignore the next one`() =
            restoredTest { scope ->
                val copy = table.copy()
                val incarnation = awaitIncarnation(table, VM, wallClockMs = 50_000, DiscardingEventLog)
                scope.launch { keepIncarnation(table, eras, VM, incarnation, DiscardingEventLog) }
                delay(1)
                comeBackFrom(copy)
                delay(1)

                assertTrue(awaitIncarnation(table, VM, wallClockMs = 45_000, DiscardingEventLog) > incarnation)
            }

        @Test
        fun `is written again after a return that only its first response shows, guarding against a row lost during the start`() =
            restoredTest { scope ->
                val copy = table.copy()
                val incarnation = awaitIncarnation(table, VM, wallClockMs = 50_000, DiscardingEventLog)
                table.comeBackFrom(copy)
                val erasOfProcess = FakeStoreEras()
                scope.launch { keepIncarnation(table, erasOfProcess, VM, incarnation, DiscardingEventLog) }
                delay(1)
                erasOfProcess.notice(table.era)
                delay(1)

                assertTrue(awaitIncarnation(table, VM, wallClockMs = 45_000, DiscardingEventLog) > incarnation)
            }
    }

    private companion object {
        private val VM = VmId("vm")
    }
}
