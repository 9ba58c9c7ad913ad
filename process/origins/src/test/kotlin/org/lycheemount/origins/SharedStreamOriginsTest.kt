package org.lycheemount.origins

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.lycheemount.common.SoftwareVersion
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class SharedStreamOriginsTest {
    private fun fleetTest(
        seed: Int,
        routerCount: Int,
        isEnabled: Boolean = true,
        hasPeerLinks: Boolean = false,
        body: suspend TestScope.(VersionedTrafficFleet) -> Unit,
    ) = runTest {
        val scope = CoroutineScope(coroutineContext + Job())
        try {
            val fleet = VersionedTrafficFleet(scope, testScheduler, seed, routerCount, isEnabled, hasPeerLinks = hasPeerLinks)
            body(fleet)
        } finally {
            scope.cancel()
        }
    }

    private fun assertKept(
        fleet: VersionedTrafficFleet,
        resumed: VersionedTrafficFleet.Share,
        context: String,
    ) {
        val shares =
            "$context: new ${fleet.newStreams}, resumed in touch ${fleet.resumedInTouch}, recordable ${fleet.resumedRecordable}, " +
                "knowable ${fleet.resumedKnowable}, anywhere ${fleet.resumedAnywhere}"
        assertEquals(0, fleet.joined, shares)
        if (resumed.total >= MIN_RESUMED) assertTrue(resumed.value >= fleet.newStreams.value * MIN_RELATIVE_SHARE, shares)
        assertTrue(fleet.usage.maxEntries <= MAX_ENTRIES, "${fleet.usage.maxEntries} entries")
        assertTrue(fleet.usage.maxRowBytes <= MAX_ROW_BYTES, "${fleet.usage.maxRowBytes} bytes")
    }

    /** Two releases one after the other while streams come, and [faults] beside them. */
    private suspend fun TestScope.runReleases(
        fleet: VersionedTrafficFleet,
        faults: suspend (VersionedTrafficFleet) -> Unit,
    ) {
        fleet.addServers(V1, SERVERS)
        fleet.startRouters()
        delay(3_000)
        val traffic = launch { fleet.sendStreams(STREAMS_PER_S, TRAFFIC_MS) }
        val disturbances = launch { faults(fleet) }
        delay(BEFORE_RELEASE_MS)
        release(fleet, V1, V2)
        delay(5_000)
        release(fleet, V2, V3)
        traffic.join()
        disturbances.join()
        delay(10_000)
    }

    private suspend fun release(
        fleet: VersionedTrafficFleet,
        old: SoftwareVersion,
        new: SoftwareVersion,
    ) = repeat(SERVERS) {
        fleet.replaceOne(old, new)
        delay(fleet.random.nextLong(200, 2_500))
    }

    private suspend fun killAllRouters(fleet: VersionedTrafficFleet) =
        repeat(3) {
            delay(fleet.random.nextLong(6_000, 12_000))
            fleet.restart(fleet.routers, forMs = fleet.random.nextLong(500, 2_500))
        }

    private suspend fun killSomeRouters(fleet: VersionedTrafficFleet) =
        repeat(8) {
            delay(fleet.random.nextLong(1_000, 5_000))
            val killed = fleet.routers.filter { it.isUp && fleet.random.nextDouble() < 0.35 }
            fleet.restart(killed, forMs = fleet.random.nextLong(500, 2_500))
        }

    private suspend fun failTable(fleet: VersionedTrafficFleet) =
        repeat(4) {
            delay(fleet.random.nextLong(1_000, 7_000))
            fleet.failTable(fleet.random.nextLong(500, 6_000))
            fleet.breakStreams(0.5)
        }

    /** The first copy is made just before the second version is opened. */
    private suspend fun restoreTable(fleet: VersionedTrafficFleet) =
        repeat(5) { round ->
            delay(if (round == 0) BEFORE_RELEASE_MS else fleet.random.nextLong(500, 2_000))
            val copy = fleet.table.copy()
            delay(fleet.random.nextLong(2_500, 7_000))
            fleet.restoreTable(copy, awayMs = fleet.random.nextLong(200, 1_500))
            delay(fleet.random.nextLong(1, 2_000))
            val killed = fleet.routers.filter { fleet.random.nextDouble() < 0.35 }
            fleet.restart(killed, forMs = fleet.random.nextLong(200, 1_500))
            fleet.breakStreams(0.3)
            delay(CONTACT_MS + fleet.random.nextLong(100, 1_000))
            fleet.breakStreams(0.3)
        }

    private suspend fun disturbLinks(fleet: VersionedTrafficFleet) =
        repeat(6) {
            val disturbed = fleet.routers.filter { fleet.random.nextDouble() < 0.6 }
            for (router in disturbed) {
                val kind = fleet.random.nextInt(4)
                router.faults = { link ->
                    link.isPartitioned = kind == 0
                    link.lostResponseShare = if (kind == 1) 0.5 else 0.0
                    link.lateCommitShare = if (kind == 2) 0.5 else 0.0
                    link.delayMs = if (kind == 3) 700 else 0
                }
            }
            fleet.onTableDisturbed()
            repeat(4) {
                delay(fleet.random.nextLong(200, 1_500))
                fleet.breakStreams(0.3)
            }
            disturbed.forEach { router ->
                router.faults = { link ->
                    link.isPartitioned = false
                    link.lostResponseShare = 0.0
                    link.lateCommitShare = 0.0
                    link.delayMs = 0
                }
            }
            fleet.onTableDisturbed()
        }

    private suspend fun resetConnections(fleet: VersionedTrafficFleet) =
        repeat(15) {
            delay(fleet.random.nextLong(500, 3_500))
            fleet.breakStreams(0.4)
        }

    /**
     * Checks the share of [resumed] in each run that resumes enough of them. Over all seeds of a fleet size there have to be enough, and
     * both this share and the one of all streams that were resumed in touch are checked.
     */
    private fun checkFleets(
        name: String,
        faults: suspend (VersionedTrafficFleet) -> Unit,
        hasPeerLinks: Boolean = false,
        resumed: (VersionedTrafficFleet) -> VersionedTrafficFleet.Share = { it.resumedInTouch },
    ) {
        // A single router has no peer.
        val fleets = if (hasPeerLinks) SEEDS_BY_ROUTERS - 1 else SEEDS_BY_ROUTERS
        for ((routerCount, seeds) in fleets) {
            val allNew = VersionedTrafficFleet.Share()
            val allResumed = VersionedTrafficFleet.Share()
            val allInTouch = VersionedTrafficFleet.Share()
            for (seed in 1..seeds) {
                fleetTest(seed, routerCount, hasPeerLinks = hasPeerLinks) { fleet ->
                    runReleases(fleet, faults)

                    assertKept(fleet, resumed(fleet), "$name, $routerCount routers, seed $seed")
                    allNew += fleet.newStreams
                    allResumed += resumed(fleet)
                    allInTouch += fleet.resumedInTouch
                }
            }
            for (all in listOf(allResumed, allInTouch)) {
                val shares = "$name, $routerCount routers, $seeds seeds: new $allNew, resumed $all"
                assertTrue(all.total >= MIN_RESUMED, shares)
                assertTrue(all.value >= allNew.value * MIN_RELATIVE_SHARE, shares)
            }
        }
    }

    private suspend fun causeAllFaults(fleet: VersionedTrafficFleet) =
        coroutineScope {
            val all = listOf(::resetConnections, ::killAllRouters, ::killSomeRouters, ::failTable, ::disturbLinks)
            all.forEach { fault -> launch { fault(fleet) } }
        }

    @Nested
    inner class `streams over two releases, resumed at any router, are never joined from two versions, and most of them go on` {
        @Test
        fun `when connections are reset`() = checkFleets("resets", ::resetConnections)

        @Test
        fun `when all routers lose power at once`() = checkFleets("all routers killed", ::killAllRouters)

        @Test
        fun `when some routers are killed`() = checkFleets("some routers killed", ::killSomeRouters)

        @Test
        fun `when the table is down for seconds`() = checkFleets("table down", ::failTable)

        @Test
        fun `when the table comes back from an older copy and routers are killed`() =
            checkFleets("table restored", ::restoreTable, resumed = { it.resumedRecordable })

        @Test
        fun `when routers are cut off from the table, or it is slow or loses responses`() = checkFleets("links disturbed", ::disturbLinks)

        @Test
        fun `when all of this happens at once, in each run those that routers could record`() =
            checkFleets("all faults", ::causeAllFaults, resumed = { it.resumedRecordable })
    }

    @Nested
    inner class `streams over two releases, whose routers keep copies of records for each other, are never joined, and most of them go on` {
        @Test
        fun `when some routers are killed`() = checkFleets("copies, some routers killed", ::killSomeRouters, hasPeerLinks = true)

        @Test
        fun `when the table comes back from an older copy and routers are killed`() =
            checkFleets("copies, table restored", ::restoreTable, hasPeerLinks = true)

        @Test
        fun `when routers are cut off from the table, or it is slow or loses responses`() =
            checkFleets("copies, links disturbed", ::disturbLinks, hasPeerLinks = true)

        @Test
        fun `when all of this happens at once, in each run those that the table or a router could still know`() =
            checkFleets("copies, all faults", ::causeAllFaults, hasPeerLinks = true, resumed = { it.resumedKnowable })
    }

    @Test
    fun `most streams go on in a run with all faults at once, guarding against streams without a record`() =
        fleetTest(seed = 60, routerCount = 7, hasPeerLinks = true) { fleet ->
            runReleases(fleet, ::causeAllFaults)

            assertTrue(fleet.resumedInTouch.total >= MIN_RESUMED)
            assertKept(fleet, fleet.resumedInTouch, "all faults")
        }

    @Test
    fun `streams are joined from two versions by routers that do not tell versions apart, as a replay of the same traffic shows`() {
        for ((routerCount, _) in SEEDS_BY_ROUTERS) {
            fleetTest(seed = 1, routerCount, isEnabled = false) { fleet ->
                runReleases(fleet, ::killAllRouters)

                assertTrue(fleet.joined > MAX_JOINED, "${fleet.joined} streams joined")
            }
        }
    }

    private companion object {
        private val V3 = SoftwareVersion("v3")
        private val SEEDS_BY_ROUTERS = mapOf(1 to 6, 7 to 8, 95 to 3)
        private const val SERVERS = 6
        private const val BEFORE_RELEASE_MS = 5_000L

        /** A router counts as in touch when the table has been sound for this long. */
        private const val CONTACT_MS = 3_000L
        private const val STREAMS_PER_S = 30
        private const val TRAFFIC_MS = 45_000L
        private const val MIN_RESUMED = 12
        private const val MIN_RELATIVE_SHARE = 0.5
        private const val MAX_JOINED = 2
        private const val MAX_ENTRIES = 100
        private const val MAX_ROW_BYTES = 64_000
    }
}
