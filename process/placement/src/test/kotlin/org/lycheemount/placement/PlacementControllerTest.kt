package org.lycheemount.placement

import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.lycheemount.common.DiscardingEventLog
import org.lycheemount.common.ModelId
import org.lycheemount.common.RouterId
import org.lycheemount.common.ZoneId
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.WeightLoadPermit
import org.lycheemount.platform.WeightStore
import org.lycheemount.testing.FakeClock
import org.lycheemount.testing.FakeTableService
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

private const val LONGER_THAN_LEASE_MS = 20_000L
private val model = ModelId("loft-model")
private val zone = ZoneId("fraser")

class PlacementControllerTest {
    private val clock = FakeClock()
    private val table = FakeTableService(clock)
    private val store = FakeWeightStore()

    @Nested
    inner class `a zone with too few copies` {
        @Test
        fun `gets one load for each missing copy although loads take a while to show`() =
            runTest {
                val fleet = FakeEngineFleet(3).apply { slowLoads = true }
                val controller = controller("r1", fleet)

                controller.runRound(goal(copies = 2))
                controller.runRound(goal(copies = 2))
                fleet.finishLoads()

                assertEquals(2, fleet.commands.size)
                assertEquals(RoundOutcome.SETTLED, controller.runRound(goal(copies = 2)))
            }

        @Test
        fun `waits as long as the weight store asks`() =
            runTest {
                val fleet = FakeEngineFleet(1)
                val controller = controller("r1", fleet)
                store.retryAfterMs = 9_000

                controller.runRound(goal(copies = 1))
                clock.advance(8_000)
                controller.runRound(goal(copies = 1))
                val requestsWhileLimited = store.requests
                store.retryAfterMs = null
                clock.advance(2_000)
                controller.runRound(goal(copies = 1))

                assertEquals(1, requestsWhileLimited)
                assertEquals("v1", fleet.loaded(0, model))
            }
    }

    @Nested
    inner class `a needed model` {
        @Test
        fun `keeps serving while its version is replaced everywhere`() =
            runTest {
                val fleet = FakeEngineFleet(3)
                repeat(3) { fleet.preload(it, model, "v1") }
                val controller = controller("r1", fleet)

                controller.runRound(goal(copies = 3, version = "v2"))

                assertEquals(listOf<String?>("v2", "v2", "v2"), (0..2).map { fleet.loaded(it, model) })
                assertEquals(3, fleet.fewestServing)
            }

        @Test
        fun `keeps its last copy when it is an old version and the new one cannot be loaded`() =
            runTest {
                val fleet = FakeEngineFleet(2).apply { slowLoads = true }
                fleet.preload(0, model, "v1")
                store.retryAfterMs = 1_000_000

                repeat(5) { controller("r1", fleet).runRound(goal(copies = 1, version = "v2")) }

                assertEquals("v1", fleet.loaded(0, model))
            }

        @Test
        fun `loses surplus copies only down to the goal`() =
            runTest {
                val fleet = FakeEngineFleet(3)
                repeat(3) { fleet.preload(it, model, "v1") }

                controller("r1", fleet).runRound(goal(copies = 1))

                assertEquals(1, (0..2).count { fleet.loaded(it, model) == "v1" })
                assertEquals(1, fleet.fewestServing)
            }
    }

    @Nested
    inner class `a holder paused between its lease check and its command` {
        @Test
        fun `is refused by engines that check the token and stops`() = convergesAfterPause(checksTokens = true)

        @Test
        fun `is corrected by the new holder on engines that ignore the token`() = convergesAfterPause(checksTokens = false)

        private fun convergesAfterPause(checksTokens: Boolean) =
            runTest {
                val fleet = FakeEngineFleet(1, checksTokens)
                fleet.preload(0, model, "v0")
                val paused = controller("r1", fleet)
                val successor = controller("r2", fleet)
                fleet.beforeNextCommand = {
                    clock.advance(LONGER_THAN_LEASE_MS)
                    successor.runRound(goal(copies = 1, version = "v2"))
                }

                paused.runRound(goal(copies = 1, version = "v1"))
                val afterLateCommand = fleet.loaded(0, model)
                successor.runRound(goal(copies = 1, version = "v2"))

                assertEquals(if (checksTokens) "v2" else "v1", afterLateCommand)
                assertEquals("v2", fleet.loaded(0, model))
                assertEquals(RoundOutcome.NOT_HOLDER, paused.runRound(goal(copies = 1, version = "v1")))
            }
    }

    @Nested
    inner class `two routers with different goals after operators raced` {
        @Test
        fun `never act at the same time and end at the goal that both then have`() =
            runTest {
                for (checksTokens in listOf(true, false)) {
                    val fleet = FakeEngineFleet(3, checksTokens)
                    val first = controller("r1-$checksTokens", fleet, checksTokens.toString())
                    val second = controller("r2-$checksTokens", fleet, checksTokens.toString())

                    first.runRound(goal(copies = 2, version = "v1"))
                    val whileHeld = second.runRound(goal(copies = 3, version = "v2"))
                    clock.advance(LONGER_THAN_LEASE_MS)
                    second.runRound(goal(copies = 3, version = "v2"))
                    clock.advance(LONGER_THAN_LEASE_MS)
                    first.runRound(goal(copies = 3, version = "v2"))

                    assertEquals(RoundOutcome.NOT_HOLDER, whileHeld)
                    assertEquals(3, (0..2).count { fleet.loaded(it, model) == "v2" })
                }
            }
    }

    @Nested
    inner class `a zone cut off from the table` {
        @Test
        fun `keeps what is loaded and gets no command once the lease has run out`() =
            runTest {
                val fleet = FakeEngineFleet(2)
                val controller = controller("r1", fleet)
                controller.runRound(goal(copies = 2))
                table.available = false
                clock.advance(LONGER_THAN_LEASE_MS)
                val commandsBefore = fleet.commands.size

                val outcome = controller.runRound(goal(copies = 1))

                assertEquals(RoundOutcome.NOT_HOLDER, outcome)
                assertEquals(commandsBefore, fleet.commands.size)
                assertEquals("v1", fleet.loaded(1, model))
            }
    }

    @Nested
    inner class `a lease whose commit answer was lost` {
        @Test
        fun `is taken with a greater token so that the lost one cannot be used twice`() =
            runTest {
                val lease = lease("r1", "x")
                table.loseNextAnswers = 1

                val lost = lease.acquire()
                val tokenWhileUnknown = lease.heldToken()
                lease.acquire()

                assertEquals(false, lost)
                assertNull(tokenWhileUnknown)
                assertEquals(2, lease.heldToken())
            }
    }

    @Nested
    inner class `the number of copies` {
        @Test
        fun `grows when a class misses its target and does not oscillate when it meets it`() {
            val missing = wantedCopies(2, 1, listOf(ClassDemand(busyEngines = 1.4, metShare = 0.8, targetShare = 0.95)))
            val met = wantedCopies(3, 1, listOf(ClassDemand(busyEngines = 1.4, metShare = 0.99, targetShare = 0.95)))
            val idle = wantedCopies(3, 1, listOf(ClassDemand(busyEngines = 0.5, metShare = 1.0, targetShare = 0.95)))

            assertEquals(3, missing)
            assertEquals(3, met)
            assertEquals(2, idle)
            assertTrue(wantedCopies(1, 1, emptyList()) == 1)
        }
    }

    private fun goal(
        copies: Int,
        version: String = "v1",
    ) = PlacementGoal(model, version, emptySet(), copies)

    private fun controller(
        router: String,
        fleet: EngineFleet,
        scope: String = "zone",
    ) = PlacementController(zone, lease(router, scope), fleet, store, clock, DiscardingEventLog)

    private var transactions = 0

    private fun lease(
        router: String,
        scope: String,
    ) = PlacementLease("placement/lease/$scope", RouterId(router), table, clock) { "$router-${++transactions}" }
}

private class FakeWeightStore : WeightStore {
    var retryAfterMs: Long? = null
    var requests = 0

    override suspend fun requestLoad(
        modelId: ModelId,
        version: String,
    ): TableResult<WeightLoadPermit> {
        requests++
        return TableResult.Answered(retryAfterMs?.let { WeightLoadPermit.RateLimited(it) } ?: WeightLoadPermit.Granted)
    }
}
