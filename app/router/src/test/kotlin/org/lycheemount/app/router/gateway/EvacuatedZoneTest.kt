package org.lycheemount.app.router.gateway

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.lycheemount.common.RefusalReason
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** EVAC: a zone is evacuated under load, with a fault halfway. */
@OptIn(ExperimentalCoroutinesApi::class)
class EvacuatedZoneTest {
    private val zone = EvacuatedZoneFleet.zone(1)

    /** Runs [steps] on fleets of several sizes, whose callers send each router 25 requests a second. */
    private fun runFleets(
        followsEvacuations: Boolean = true,
        steps: suspend TestScope.(EvacuatedZoneFleet) -> Unit,
    ) = listOf(7, 30, 95).forEach { routerCount ->
        runTest {
            val fleet = EvacuatedZoneFleet(this, routerCount, followsEvacuations)
            fleet.routers.forEach { it.startCallers(CALL_INTERVAL_MS) }
            delay(1_000)
            assertEquals(routerCount, fleet.routersSendingTo(zone, afterMs = 0).size, "some routers sent nothing to the zone before")

            steps(fleet)
        }
    }

    /** The store is gone after some of the routers have read the row. Returns the time of the write. */
    private suspend fun TestScope.evacuateWhileStoreFails(fleet: EvacuatedZoneFleet): Long {
        val atMs = currentTime
        fleet.evacuate(zone)
        delay(5)
        fleet.isStoreUp = false
        return atMs
    }

    @Nested
    inner class `the store is gone after some routers have read the row` {
        @Test
        fun `no router sends to the zone, since the others hear of it from peers, and all callers are served`() =
            runFleets { fleet ->
                val atMs = evacuateWhileStoreFails(fleet)
                delay(8_000)

                assertEquals(emptySet(), fleet.routersSendingTo(zone, atMs + 1_000))
                val sources = fleet.routers.map { it.sources.single().second }
                assertTrue("store" in sources && sources.any { it != "store" }, "sources: $sources")
                assertTrue(fleet.outcomes.all { it.refusal == null })
            }

        @Test
        fun `the same load reaches the zone from routers that ignore the row`() =
            runFleets(followsEvacuations = false) { fleet ->
                val atMs = evacuateWhileStoreFails(fleet)
                delay(8_000)

                assertEquals(fleet.routers.size, fleet.routersSendingTo(zone, atMs + EVACUATE_MS).size)
            }

        @Test
        fun `all routers send to the zone again once the row is gone and the store is back, also without its history`() =
            runFleets { fleet ->
                evacuateWhileStoreFails(fleet)
                delay(3_000)
                fleet.endEvacuation(zone)
                fleet.rows.compactHistory()
                fleet.isStoreUp = true
                delay(2_000)
                val restoredByMs = currentTime
                delay(2_000)

                assertEquals(fleet.routers.size, fleet.routersSendingTo(zone, restoredByMs).size)
            }
    }

    @Nested
    inner class `a router restarts during an evacuation` {
        @Test
        fun `and never sends to the zone, since it reads the row before it takes requests`() =
            runFleets { fleet ->
                fleet.evacuate(zone)
                fleet.routers.first().restart()
                val restartedAtMs = currentTime
                delay(8_000)

                assertTrue(fleet.arrivals.any { it.router == 0 && it.atMs > restartedAtMs })
                assertEquals(emptySet(), fleet.routersSendingTo(zone, restartedAtMs))
            }

        @Test
        fun `and does not learn of one that has ended from a router that missed the end, but tells it`() =
            runFleets { fleet ->
                val outdated = fleet.routers.last()
                fleet.evacuate(zone)
                delay(100)
                outdated.reachesStore = false
                outdated.cutOffFromPeers()
                fleet.endEvacuation(zone)
                fleet.rows.compactHistory()
                coroutineScope { fleet.routers.dropLast(1).forEach { launch { it.restart() } } }
                delay(1_000)
                fleet.healPeerLinks()
                delay(1_000)
                val healedAtMs = currentTime
                delay(2_000)

                assertEquals(fleet.routers.size, fleet.routersSendingTo(zone, healedAtMs).size)
                assertEquals("zone_restored", outdated.sources.last().first)
            }
    }

    @Nested
    inner class `a router without the store whose peer links are cut as well` {
        @Test
        fun `stops sending to the zone once a link is back`() =
            runFleets { fleet ->
                val cut = fleet.routers.first()
                cut.reachesStore = false
                cut.cutOffFromPeers()
                fleet.evacuate(zone)
                val atMs = currentTime
                delay(6_000)
                assertEquals(setOf(0), fleet.routersSendingTo(zone, atMs + 1_000))

                fleet.healPeerLinks()
                delay(1_000)
                val healedByMs = currentTime
                delay(3_000)

                assertEquals(emptySet(), fleet.routersSendingTo(zone, healedByMs))
            }

        @Test
        fun `stays away from the zone after an end that it has missed, without a time limit, and returns once a link is back`() =
            runFleets { fleet ->
                val cut = fleet.routers.first()
                fleet.evacuate(zone)
                delay(200)
                cut.reachesStore = false
                cut.cutOffFromPeers()
                fleet.endEvacuation(zone)
                val atMs = currentTime
                delay(20_000)
                assertEquals(fleet.routers.size - 1, fleet.routersSendingTo(zone, atMs + 1_000).size)

                fleet.healPeerLinks()
                delay(3_000)

                assertTrue(0 in fleet.routersSendingTo(zone, atMs + 20_000))
                assertEquals(listOf("zone_evacuated", "zone_restored"), cut.sources.map { it.first })
            }

        @Test
        fun `does not restore the zone for others by what it has missed`() =
            runFleets { fleet ->
                val cut = fleet.routers.first()
                cut.reachesStore = false
                cut.cutOffFromPeers()
                fleet.evacuate(zone)
                delay(500)
                fleet.endEvacuation(zone)
                delay(500)
                fleet.evacuate(zone)
                delay(500)
                fleet.healPeerLinks()
                delay(1_000)
                val healedByMs = currentTime
                delay(6_000)

                assertEquals(emptySet(), fleet.routersSendingTo(zone, healedByMs))
            }
    }

    @Nested
    inner class `while all zones are evacuated` {
        @Test
        fun `callers are refused at once with the reason, and served again after the end`() =
            runFleets { fleet ->
                val zones = List(3) { EvacuatedZoneFleet.zone(it) }
                zones.forEach(fleet::evacuate)
                delay(1_000)
                val evacuatedByMs = currentTime
                delay(2_000)
                val refused = fleet.outcomes.filter { it.sentAtMs > evacuatedByMs }
                assertTrue(refused.isNotEmpty())
                assertTrue(refused.all { it.refusal?.reason == RefusalReason.ZONES_EVACUATED && it.refusal.retryAfterMs != null })
                assertTrue(refused.all { it.endedAtMs == it.sentAtMs })

                zones.forEach(fleet::endEvacuation)
                delay(1_000)
                val restoredByMs = currentTime
                delay(1_000)

                assertTrue(fleet.outcomes.filter { it.sentAtMs > restoredByMs }.all { it.refusal == null })
            }
    }

    private companion object {
        private const val CALL_INTERVAL_MS = 40L
        private const val EVACUATE_MS = 5_000L
    }
}
