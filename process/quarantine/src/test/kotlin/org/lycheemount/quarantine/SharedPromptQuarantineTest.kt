package org.lycheemount.quarantine

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
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class SharedPromptQuarantineTest {
    private fun fleetTest(
        seed: Int = 1,
        isEnabled: Boolean = true,
        pattern: TrafficPattern = TrafficPattern(),
        body: suspend TestScope.(HarmfulTrafficFleet) -> Unit,
    ) = runTest {
        val scope = CoroutineScope(coroutineContext + Job())
        try {
            body(HarmfulTrafficFleet(scope, testScheduler, seed, isEnabled, pattern))
        } finally {
            scope.cancel()
        }
    }

    @Nested
    inner class `requests with a segment that crashes servers` {
        @Test
        fun `stop reaching servers after five crashes, while sound requests with their other segments do not`() {
            for (share in listOf(0.02, 0.05, 0.25)) {
                for (seed in 1..SEEDS) {
                    fleetTest(seed) { fleet ->
                        fleet.run(share)

                        val context = "share $share, seed $seed, crashes ${fleet.crashTimesMs}"
                        assertTrue(fleet.lateHarmfulSends() <= MAX_LATE_SENDS, "${fleet.lateHarmfulSends()} late sends, $context")
                        assertTrue(fleet.soundSentFirst >= fleet.soundCount / 2, "${fleet.soundSentFirst} of ${fleet.soundCount}, $context")
                    }
                }
            }
        }

        @Test
        fun `stop reaching servers also if these crash only after their first events, guarding against a response that proves too much`() {
            for (crashAfterMs in listOf(30L, 300L)) {
                for (seed in 1..SEEDS) {
                    fleetTest(seed, pattern = TrafficPattern(crashAfterMs = crashAfterMs)) { fleet ->
                        fleet.run(harmfulShare = 0.1)

                        val context = "crash after $crashAfterMs ms, seed $seed, crashes ${fleet.crashTimesMs}"
                        assertTrue(fleet.lateHarmfulSends() <= MAX_LATE_SENDS, "${fleet.lateHarmfulSends()} late sends, $context")
                        assertTrue(fleet.soundSentFirst >= fleet.soundCount / 2, "${fleet.soundSentFirst} of ${fleet.soundCount}, $context")
                    }
                }
            }
        }

        @Test
        fun `stop reaching servers also if all crash together on a first segment, guarding against another crash of all on return`() {
            for (seed in 1..SEEDS) {
                fleetTest(seed, pattern = TrafficPattern(isHarmfulFirst = true, waitMs = 10L..30L)) { fleet ->
                    fleet.runWaves(perWave = 20)

                    val context = "seed $seed, crashes ${fleet.crashTimesMs}"
                    assertTrue(fleet.crashTimesMs.size >= 5, context)
                    assertTrue(fleet.lateHarmfulSends() <= MAX_LATE_SENDS, "${fleet.lateHarmfulSends()} late sends, $context")
                    assertTrue(fleet.soundSentFirst >= fleet.soundCount / 2, "${fleet.soundSentFirst} of ${fleet.soundCount}, $context")
                }
            }
        }

        @Test
        fun `stop reaching servers also if all crash together on a later segment, guarding against a wave when the quarantine ends`() {
            for (seed in 1..SEEDS) {
                fleetTest(seed, pattern = TrafficPattern(waitMs = 10L..30L)) { fleet ->
                    fleet.runWaves(perWave = 20)

                    val context = "seed $seed, crashes ${fleet.crashTimesMs}"
                    assertTrue(fleet.lateHarmfulSends() <= MAX_LATE_SENDS, "${fleet.lateHarmfulSends()} late sends, $context")
                    assertTrue(fleet.soundSentFirst >= fleet.soundCount / 2, "${fleet.soundSentFirst} of ${fleet.soundCount}, $context")
                }
            }
        }

        @Test
        fun `stop reaching servers also if their crashes are noticed late, guarding against a wave that is counted wrongly`() {
            val patterns =
                listOf(
                    TrafficPattern(isHarmfulFirst = true, waitMs = 10L..30L, noticeMs = 0L..500L),
                    TrafficPattern(isHarmfulFirst = true, waitMs = 10L..500L),
                    TrafficPattern(isHarmfulFirst = true, waitMs = 10L..30L, serverCount = 5),
                    TrafficPattern(isHarmfulFirst = true, waitMs = 10L..30L, serverCount = 2),
                )
            for (pattern in patterns) {
                for (seed in 1..SEEDS) {
                    fleetTest(seed, pattern = pattern) { fleet ->
                        fleet.runWaves(perWave = 20)

                        val context = "$pattern, seed $seed, crashes ${fleet.crashTimesMs}"
                        assertTrue(fleet.lateHarmfulSends() <= MAX_LATE_SENDS, "${fleet.lateHarmfulSends()} late sends, $context")
                    }
                }
            }
        }

        @Test
        fun `stop reaching servers also if all routers restart before the servers return, guarding against routers that begin anew`() {
            for (seed in 1..SEEDS) {
                fleetTest(seed, pattern = TrafficPattern(isHarmfulFirst = true, waitMs = 10L..30L)) { fleet ->
                    fleet.runWaves(perWave = 20) {
                        delay(CONTACT_MS / 3)
                        fleet.restartRouters()
                    }

                    val late = fleet.lateHarmfulSends(sinceMs = fleet.crashTimesMs.first() + CONTACT_MS / 3)
                    assertTrue(late <= MAX_LATE_SENDS, "$late late sends, seed $seed, crashes ${fleet.crashTimesMs}")
                }
            }
        }

        @Test
        fun `stop reaching servers also if the table is silent while they crash, guarding against reports that are lost`() {
            for (seed in 1..SEEDS) {
                fleetTest(seed, pattern = TrafficPattern(isHarmfulFirst = true, waitMs = 10L..30L)) { fleet ->
                    fleet.runWaves(perWave = 20) {
                        fleet.table.isAvailable = false
                        delay(2 * CONTACT_MS / 3)
                        fleet.table.isAvailable = true
                    }

                    val late = fleet.lateHarmfulSends(sinceMs = fleet.crashTimesMs.first() + 2 * CONTACT_MS / 3)
                    assertTrue(late <= MAX_LATE_SENDS, "$late late sends, seed $seed, crashes ${fleet.crashTimesMs}")
                }
            }
        }

        @Test
        fun `with several first segments do not have sound ones refused, guarding against a common segment blamed for all of them`() {
            for (seed in 1..SEEDS) {
                fleetTest(seed, pattern = TrafficPattern(isHarmfulFirst = true, harmfulSegmentCount = 8, waitMs = 10L..30L)) { fleet ->
                    fleet.runWaves(perWave = 20)
                    fleet.run(harmfulShare = 0.0)

                    val share = fleet.soundShareSentFirst(afterMs = 5 * HarmfulTrafficFleet.TRAFFIC_MS / 4)
                    assertTrue(share >= MIN_SOUND_SHARE, "$share of the sound requests are sent, seed $seed")
                }
            }
        }

        @Test
        fun `reach servers for as long as they come without a quarantine, as a replay of the same traffic shows`() {
            fleetTest(isEnabled = false) { fleet ->
                fleet.run(harmfulShare = 0.05)

                assertTrue(fleet.lateHarmfulSends() > MAX_LATE_SENDS, "${fleet.lateHarmfulSends()} late sends")
            }
        }

        @Test
        fun `are refused by a router that has just started, guarding against a restart that forgets what the fleet has learned`() {
            fleetTest { fleet ->
                fleet.run(harmfulShare = 0.25)
                val restarted = fleet.startRouter(0)
                delay(CONTACT_MS)

                assertNotNull(restarted.refusalFor(PromptSegments(listOf(SegmentId(1), HARMFUL), SegmentId(7))))
                assertNull(restarted.refusalFor(PromptSegments(listOf(SegmentId(1), SegmentId(100)), SegmentId(7))))
            }
        }

        @Test
        fun `are refused by a router that starts when the store has lost the reports, guarding against reports written once only`() {
            fleetTest { fleet ->
                fleet.noticeEra()
                val copy = fleet.table.copy()
                fleet.run(harmfulShare = 0.25)
                fleet.table.comeBackFrom(copy)
                fleet.noticeEra()
                delay(CONTACT_MS)
                val restarted = fleet.startRouter(0)
                delay(CONTACT_MS)

                assertNotNull(restarted.refusalFor(PromptSegments(listOf(SegmentId(1), HARMFUL), SegmentId(7))))
                assertNull(restarted.refusalFor(PromptSegments(listOf(SegmentId(1), SegmentId(100)), SegmentId(7))))
            }
        }

        @Test
        fun `are refused by routers that have learned of them while the table does not respond`() {
            fleetTest { fleet ->
                fleet.run(harmfulShare = 0.25)
                fleet.table.isAvailable = false
                val before = fleet.harmfulSendTimesMs.size

                fleet.run(harmfulShare = 0.25)

                assertEquals(before, fleet.harmfulSendTimesMs.size)
            }
        }
    }

    @Nested
    inner class `connections of a crashed server that break one after the other` {
        @Test
        fun `leave all of their requests suspected, guarding against a late report that replaces the one with the harmful request`() {
            fleetTest { fleet ->
                val router = fleet.startRouter(0)
                delay(CONTACT_MS)
                for (number in 1L..2L) {
                    val ended = fleet.endedServer(number.toInt())
                    router.onAttemptBroken(ended, PromptSegments(listOf(SegmentId(1), HARMFUL), SegmentId(100 + number)))
                    delay(500)
                    router.onAttemptBroken(ended, PromptSegments(listOf(SegmentId(1), SegmentId(10 + number)), SegmentId(200 + number)))
                    delay(500)
                }

                assertNotNull(router.refusalFor(PromptSegments(listOf(SegmentId(1), HARMFUL), SegmentId(7))))
            }
        }
    }

    @Nested
    inner class `requests with a first segment on which all servers have crashed together` {
        private val first = SegmentId(50)

        private fun reportCrashes(
            fleet: HarmfulTrafficFleet,
            router: PromptQuarantine,
        ) {
            for (number in 1..4) {
                router.onAttemptBroken(fleet.endedServer(number), PromptSegments(listOf(first), SegmentId(100L + number)))
            }
        }

        @Test
        fun `are sent although they come seldom, guarding against a caller who is refused forever`() {
            fleetTest { fleet ->
                val router = fleet.startRouter(0)
                delay(CONTACT_MS)
                reportCrashes(fleet, router)
                delay(10 * CONTACT_MS)

                assertNull(router.refusalToSend(PromptSegments(listOf(first), SegmentId(200))))
                assertNotNull(router.refusalToSend(PromptSegments(listOf(first), SegmentId(201))))
            }
        }

        @Test
        fun `are sent by any router when they are due, guarding against a refusal by routers that do not know the last permit`() {
            fleetTest { fleet ->
                val routers = List(2) { fleet.startRouter(it) }
                delay(CONTACT_MS)
                reportCrashes(fleet, routers.first())
                delay(CONTACT_MS)

                assertNull(routers.first().refusalToSend(PromptSegments(listOf(first), SegmentId(200))))
                delay(2 * CONTACT_MS)
                assertNull(routers.last().refusalToSend(PromptSegments(listOf(first), SegmentId(201))))
            }
        }
    }

    @Nested
    inner class `servers that crash for another reason` {
        @Test
        fun `cause no more than a few refusals, also when several of them crash together and again`() {
            for (seed in 1..SEEDS) {
                fleetTest(seed) { fleet ->
                    launch {
                        repeat(3) {
                            delay(HarmfulTrafficFleet.TRAFFIC_MS / 4)
                            fleet.crashAtOnce(4)
                        }
                    }

                    fleet.run(harmfulShare = 0.0)

                    val refused = fleet.soundCount - fleet.soundSentFirst
                    assertTrue(refused <= MAX_LATE_SENDS, "$refused of ${fleet.soundCount} refused, seed $seed")
                }
            }
        }

        @Test
        fun `cause no refusals for long if all crash on prompts that are new, guarding against sound requests refused for a day`() {
            for (spreadMs in listOf(0L, 500L)) {
                for (seed in 1..SEEDS) {
                    fleetTest(seed, pattern = TrafficPattern(secondSegmentCount = 1)) { fleet ->
                        launch {
                            delay(CONTACT_MS / 3)
                            fleet.crashAtOnce(TrafficPattern().serverCount, spreadMs)
                        }

                        fleet.run(harmfulShare = 0.0)

                        val share = fleet.soundShareSentFirst(afterMs = fleet.crashTimesMs.last() + 2 * CONTACT_MS)
                        assertTrue(share >= MIN_SOUND_SHARE, "$share of the sound requests are sent, spread $spreadMs ms, seed $seed")
                    }
                }
            }
        }
    }

    private companion object {
        private const val SEEDS = 20

        /** Harmful requests that may still be sent when all routers have had time to learn of the fifth crash, as the platform states it. */
        private const val MAX_LATE_SENDS = 3

        /** Share of the sound requests that is sent from twice [CONTACT_MS] after a crash on, as the platform states it. */
        private const val MIN_SOUND_SHARE = 0.5
    }
}
