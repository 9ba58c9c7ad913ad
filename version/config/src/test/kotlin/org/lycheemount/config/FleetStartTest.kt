package org.lycheemount.config

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.platform.TableService
import org.lycheemount.testing.FakeEventLog
import org.lycheemount.testing.FakePeerNetwork
import org.lycheemount.testing.FakeTableService
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/** Guards against a burst of table reads when all routers start before any of them has read the VM list. */
class FleetStartTest {
    @Nested
    inner class `a start of 300 routers at once` {
        @Test
        fun `spreads the first reads although the VM list arrives only after 100 ms`() =
            runTest {
                val clock = VirtualClock(this)
                val readTimesMs = mutableListOf<Long>()
                val fakeTable = FakeTableService(clock)
                val table =
                    object : TableService by fakeTable {
                        override suspend fun read(keys: List<String>) = fakeTable.read(keys).also { readTimesMs += clock.monotonicMs() }
                    }
                val network = FakePeerNetwork(backgroundScope)
                val peers =
                    object : ConfigurationPeers {
                        override fun routerCount() = if (clock.monotonicMs() < 100) 0 else 300

                        override fun pushTargets() = emptyList<RouterId>()
                    }

                repeat(300) { index ->
                    val identity =
                        RouterIdentity(RouterId("router-$index"), VmId("vm-$index"), RegionId("bc-west"), ZoneId("fraser"), incarnation = 1)
                    ConfigurationService(table, network.join(identity), peers, clock, FakeEventLog(), random = Random(index))
                        .start(backgroundScope)
                }
                delay(2_000)

                // Evenly spread over 4 ms per router, there would be 25 reads per 100 ms.
                val maxReads =
                    readTimesMs
                        .groupingBy { it / 100 }
                        .eachCount()
                        .values
                        .max()
                assertTrue(maxReads <= 50, "$maxReads reads within 100 ms")
            }
    }
}
