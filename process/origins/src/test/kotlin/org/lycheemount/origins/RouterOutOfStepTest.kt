package org.lycheemount.origins

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * One router is out of step while servers of a new software version join. Streams that began there at other routers break off, before,
 * in and after that time, and most of them are resumed at that router. Guards against streams that it joins from two versions.
 */
class RouterOutOfStepTest {
    /** What happens to the servers of the old version while the new one joins. */
    private enum class Release { OLD_STAYS, OLD_LEAVES }

    /** What happens to two other routers while the first is out of step. */
    private enum class Peers { SOUND, FROZEN, KILLED }

    private class Disturbance(
        val begin: (VersionedTrafficFleet.Router) -> Unit,
        val end: (VersionedTrafficFleet.Router) -> Unit,
    )

    private val frozen = Disturbance({ it.freeze() }, { it.thaw() })
    private val cutOff = linkDisturbance { link, isDisturbed -> link.isPartitioned = isDisturbed }
    private val withoutResponses = linkDisturbance { link, isDisturbed -> link.losesResponses = isDisturbed }
    private val withLateResponses = linkDisturbance { link, isDisturbed -> link.responseDelayMs = if (isDisturbed) LATE_MS else 0 }

    private fun linkDisturbance(apply: (FaultyTable, Boolean) -> Unit) =
        Disturbance(
            begin = { router -> router.faults = { apply(it, true) } },
            end = { router -> router.faults = { apply(it, false) } },
        )

    private fun fleetTest(
        seed: Int,
        isEnabled: Boolean = true,
        body: suspend TestScope.(VersionedTrafficFleet) -> Unit,
    ) = runTest {
        val scope = CoroutineScope(coroutineContext + Job())
        try {
            body(VersionedTrafficFleet(scope, testScheduler, seed, ROUTERS, isEnabled, isFreezable = true))
        } finally {
            scope.cancel()
        }
    }

    private suspend fun TestScope.runRelease(
        fleet: VersionedTrafficFleet,
        disturbance: Disturbance,
        release: Release,
        peers: Peers,
    ) {
        val outOfStep = fleet.routers.first()
        fleet.busiestRouter = outOfStep
        fleet.addServers(V1, SERVERS)
        fleet.startRouters()
        delay(3_000)
        val traffic = launch { fleet.sendStreams(STREAMS_PER_S, TRAFFIC_MS) }
        delay(6_000)
        val joining = launch { joinNewVersion(fleet, release) }
        val breaks = launch { breakRepeatedly(fleet) }
        delay(fleet.random.nextLong(MAX_START_DELAY_MS))
        // These are on their way when the router gets out of step.
        fleet.breakStreams(BROKEN_SHARE)
        delay(fleet.random.nextLong(100))
        disturbance.begin(outOfStep)
        val others = launch { disturbPeers(fleet, peers) }
        delay(OUT_OF_STEP_MS)
        disturbance.end(outOfStep)
        listOf(traffic, joining, breaks, others).forEach { it.join() }
        delay(10_000)
    }

    private suspend fun joinNewVersion(
        fleet: VersionedTrafficFleet,
        release: Release,
    ) = repeat(SERVERS) {
        if (release == Release.OLD_STAYS) fleet.addServers(V2, 1) else fleet.replaceOne(V1, V2)
        delay(fleet.random.nextLong(200, 1_500))
    }

    private suspend fun breakRepeatedly(fleet: VersionedTrafficFleet) =
        repeat(BREAKS) {
            delay(fleet.random.nextLong(200, 1_500))
            fleet.breakStreams(BROKEN_SHARE)
        }

    private suspend fun disturbPeers(
        fleet: VersionedTrafficFleet,
        peers: Peers,
    ) {
        delay(fleet.random.nextLong(2_000))
        val others = fleet.routers.drop(1).take(2)
        when (peers) {
            Peers.SOUND -> return
            Peers.KILLED -> fleet.restart(others, forMs = 1_500)
            Peers.FROZEN -> {
                others.forEach { it.freeze() }
                delay(3_000)
                others.forEach { it.thaw() }
            }
        }
    }

    private fun checkReleases(disturbance: Disturbance) {
        for (release in Release.entries) {
            for (peers in Peers.entries) {
                for (seed in 1..SEEDS) check(disturbance, release, peers, seed)
            }
        }
    }

    private fun check(
        disturbance: Disturbance,
        release: Release,
        peers: Peers,
        seed: Int,
    ) = fleetTest(seed) { fleet ->
        runRelease(fleet, disturbance, release, peers)

        val shares =
            "$release, peers $peers, seed $seed: new ${fleet.newStreams}, resumed in touch ${fleet.resumedInTouch}, " +
                "there ${fleet.resumedAtBusiest}"
        assertEquals(0, fleet.joined, shares)
        assertTrue(fleet.resumedAtBusiest.total >= MIN_RESUMED, shares)
        assertTrue(fleet.resumedInTouch.total >= MIN_RESUMED, shares)
        assertTrue(fleet.resumedInTouch.value >= fleet.newStreams.value * MIN_RELATIVE_SHARE, shares)
    }

    @Nested
    inner class `streams that are resumed at a router out of step are not joined from two versions, and most of them go on` {
        @Test
        fun `if it is frozen`() = checkReleases(frozen)

        @Test
        fun `if it is cut off from the table`() = checkReleases(cutOff)

        @Test
        fun `if it gets no responses of the table`() = checkReleases(withoutResponses)

        @Test
        fun `if the responses of the table are late`() = checkReleases(withLateResponses)
    }

    @Test
    fun `streams are joined by routers that do not tell versions apart, as a replay of the same traffic shows`() =
        listOf(frozen, cutOff, withoutResponses, withLateResponses).forEach { disturbance ->
            fleetTest(seed = 1, isEnabled = false) { fleet ->
                runRelease(fleet, disturbance, Release.OLD_LEAVES, Peers.SOUND)

                assertTrue(fleet.joined > 2, "${fleet.joined} streams joined")
            }
        }

    private companion object {
        private const val ROUTERS = 7
        private const val SERVERS = 3
        private const val SEEDS = 10
        private const val STREAMS_PER_S = 30
        private const val TRAFFIC_MS = 30_000L
        private const val BREAKS = 16
        private const val BROKEN_SHARE = 0.25
        private const val MAX_START_DELAY_MS = 4_000L
        private const val OUT_OF_STEP_MS = 7_000L
        private const val LATE_MS = 2_500L
        private const val MIN_RESUMED = 12
        private const val MIN_RELATIVE_SHARE = 0.5
    }
}
