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
        fun `gets one load for each missing copy although loads take time to complete`() =
            runTest {
                val fleet = FakeEngineFleet(3).apply { deferLoads = true }
                val controller = controller("r1", fleet)

                controller.reconcile(goal(copies = 2))
                controller.reconcile(goal(copies = 2))
                fleet.finishLoads()

                assertEquals(2, fleet.commands.size)
                assertEquals(ReconcileOutcome.SETTLED, controller.reconcile(goal(copies = 2)))
            }

        @Test
        fun `waits for the retry delay of the weight store`() =
            runTest {
                val fleet = FakeEngineFleet(1)
                val controller = controller("r1", fleet)
                store.retryAfterMs = 9_000

                controller.reconcile(goal(copies = 1))
                clock.advance(8_000)
                controller.reconcile(goal(copies = 1))
                val requestCountWhileLimited = store.requestCount
                store.retryAfterMs = null
                clock.advance(2_000)
                controller.reconcile(goal(copies = 1))

                assertEquals(1, requestCountWhileLimited)
                assertEquals("v1", fleet.loaded(0, model))
            }
    }

    @Nested
    inner class `a needed model` {
        @Test
        fun `keeps serving while all of its copies are updated`() =
            runTest {
                val fleet = FakeEngineFleet(3)
                repeat(3) { fleet.preload(it, model, "v1") }
                val controller = controller("r1", fleet)

                controller.reconcile(goal(copies = 3, version = "v2"))

                assertEquals(listOf<String?>("v2", "v2", "v2"), (0..2).map { fleet.loaded(it, model) })
                assertEquals(3, fleet.minServingEngines)
            }

        @Test
        fun `keeps its last copy when that is outdated and the new version cannot be loaded`() =
            runTest {
                val fleet = FakeEngineFleet(2).apply { deferLoads = true }
                fleet.preload(0, model, "v1")
                store.retryAfterMs = 1_000_000

                repeat(5) { controller("r1", fleet).reconcile(goal(copies = 1, version = "v2")) }

                assertEquals("v1", fleet.loaded(0, model))
            }

        @Test
        fun `loses surplus copies only down to the goal`() =
            runTest {
                val fleet = FakeEngineFleet(3)
                repeat(3) { fleet.preload(it, model, "v1") }

                controller("r1", fleet).reconcile(goal(copies = 1))

                assertEquals(1, (0..2).count { fleet.loaded(it, model) == "v1" })
                assertEquals(1, fleet.minServingEngines)
            }
    }

    @Nested
    inner class `a holder paused between its lease check and its command` {
        @Test
        fun `is refused by engines that check the token and stops`() = convergesAfterPause(checksFencingTokens = true)

        @Test
        fun `is corrected by the new holder on engines that ignore the token`() = convergesAfterPause(checksFencingTokens = false)

        private fun convergesAfterPause(checksFencingTokens: Boolean) =
            runTest {
                val fleet = FakeEngineFleet(1, checksFencingTokens)
                fleet.preload(0, model, "v0")
                val paused = controller("r1", fleet)
                val successor = controller("r2", fleet)
                fleet.beforeNextCommand = {
                    clock.advance(LONGER_THAN_LEASE_MS)
                    successor.reconcile(goal(copies = 1, version = "v2"))
                }

                paused.reconcile(goal(copies = 1, version = "v1"))
                val loadedAfterLateCommand = fleet.loaded(0, model)
                successor.reconcile(goal(copies = 1, version = "v2"))

                assertEquals(if (checksFencingTokens) "v2" else "v1", loadedAfterLateCommand)
                assertEquals("v2", fleet.loaded(0, model))
                assertEquals(ReconcileOutcome.NOT_HOLDER, paused.reconcile(goal(copies = 1, version = "v1")))
            }
    }

    @Nested
    inner class `two routers with different goals after concurrent operator changes` {
        @Test
        fun `never act at the same time and converge on the final common goal`() =
            runTest {
                for (checksFencingTokens in listOf(true, false)) {
                    val fleet = FakeEngineFleet(3, checksFencingTokens)
                    val first = controller("r1-$checksFencingTokens", fleet, checksFencingTokens.toString())
                    val second = controller("r2-$checksFencingTokens", fleet, checksFencingTokens.toString())

                    first.reconcile(goal(copies = 2, version = "v1"))
                    val outcomeWhileHeld = second.reconcile(goal(copies = 3, version = "v2"))
                    clock.advance(LONGER_THAN_LEASE_MS)
                    second.reconcile(goal(copies = 3, version = "v2"))
                    clock.advance(LONGER_THAN_LEASE_MS)
                    first.reconcile(goal(copies = 3, version = "v2"))

                    assertEquals(ReconcileOutcome.NOT_HOLDER, outcomeWhileHeld)
                    assertEquals(3, (0..2).count { fleet.loaded(it, model) == "v2" })
                }
            }
    }

    @Nested
    inner class `a zone cut off from the table` {
        @Test
        fun `keeps its loaded models and gets no commands after the lease has expired`() =
            runTest {
                val fleet = FakeEngineFleet(2)
                val controller = controller("r1", fleet)
                controller.reconcile(goal(copies = 2))
                table.isAvailable = false
                clock.advance(LONGER_THAN_LEASE_MS)
                val commandsBefore = fleet.commands.size

                val outcome = controller.reconcile(goal(copies = 1))

                assertEquals(ReconcileOutcome.NOT_HOLDER, outcome)
                assertEquals(commandsBefore, fleet.commands.size)
                assertEquals("v1", fleet.loaded(1, model))
            }
    }

    @Nested
    inner class `a lease whose commit response was lost` {
        @Test
        fun `is acquired with a greater token, so that the lost one is never used twice`() =
            runTest {
                val lease = lease("r1", "x")
                table.dropNextResponses = 1

                val acquiredWithLostResponse = lease.acquire()
                val tokenWhileUnknown = lease.heldToken()
                lease.acquire()

                assertEquals(false, acquiredWithLostResponse)
                assertNull(tokenWhileUnknown)
                assertEquals(2, lease.heldToken())
            }
    }

    @Nested
    inner class `the number of copies` {
        @Test
        fun `grows when a class misses its target and does not oscillate when it meets it`() {
            val missing = desiredCopies(2, 1, listOf(ClassDemand(offeredLoadEngines = 1.4, metShare = 0.8, targetShare = 0.95)))
            val met = desiredCopies(3, 1, listOf(ClassDemand(offeredLoadEngines = 1.4, metShare = 0.99, targetShare = 0.95)))
            val idle = desiredCopies(3, 1, listOf(ClassDemand(offeredLoadEngines = 0.5, metShare = 1.0, targetShare = 0.95)))

            assertEquals(3, missing)
            assertEquals(3, met)
            assertEquals(2, idle)
            assertTrue(desiredCopies(1, 1, emptyList()) == 1)
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

    private var transactionCount = 0

    private fun lease(
        router: String,
        scope: String,
    ) = PlacementLease("placement/lease/$scope", RouterId(router), table, clock) { "$router-${++transactionCount}" }
}

private class FakeWeightStore : WeightStore {
    var retryAfterMs: Long? = null
    var requestCount = 0

    override suspend fun requestLoad(
        modelId: ModelId,
        version: String,
    ): TableResult<WeightLoadPermit> {
        requestCount++
        return TableResult.Response(retryAfterMs?.let { WeightLoadPermit.RateLimited(it) } ?: WeightLoadPermit.Granted)
    }
}
