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
    private val weightStore = FakeWeightStore()

    @Nested
    inner class `a zone with too few copies` {
        @Test
        fun `gets one load command for each missing copy, and no further one while loads are in progress`() =
            runTest {
                val fleet = FakeEngineFleet(3).apply { deferLoads = true }
                val controller = controller("r1", fleet)

                controller.reconcile(goal(copies = 2))
                controller.reconcile(goal(copies = 2))
                fleet.completeDeferredLoads()

                assertEquals(2, fleet.commands.size)
                assertEquals(ReconcileOutcome.SETTLED, controller.reconcile(goal(copies = 2)))
            }

        @Test
        fun `requests no load from the weight store before the retry delay of an earlier response has passed`() =
            runTest {
                val fleet = FakeEngineFleet(1)
                val controller = controller("r1", fleet)
                weightStore.retryAfterMs = 9_000

                controller.reconcile(goal(copies = 1))
                clock.advance(8_000)
                controller.reconcile(goal(copies = 1))
                val requestCountWhileLimited = weightStore.requestCount
                weightStore.retryAfterMs = null
                clock.advance(2_000)
                controller.reconcile(goal(copies = 1))

                assertEquals(1, requestCountWhileLimited)
                assertEquals("v1", fleet.loadedVersion(0, model))
            }
    }

    @Nested
    inner class `a model with a goal of at least one copy` {
        @Test
        fun `is served by every engine while its copies are updated`() =
            runTest {
                val fleet = FakeEngineFleet(3)
                repeat(3) { fleet.preload(it, model, "v1") }
                val controller = controller("r1", fleet)

                controller.reconcile(goal(copies = 3, version = "v2"))

                assertEquals(listOf<String?>("v2", "v2", "v2"), (0..2).map { fleet.loadedVersion(it, model) })
                assertEquals(3, fleet.minServingEngines)
            }

        @Test
        fun `keeps its last copy when that is outdated and the new version cannot be loaded`() =
            runTest {
                val fleet = FakeEngineFleet(2).apply { deferLoads = true }
                fleet.preload(0, model, "v1")
                weightStore.retryAfterMs = 1_000_000

                repeat(5) { controller("r1", fleet).reconcile(goal(copies = 1, version = "v2")) }

                assertEquals("v1", fleet.loadedVersion(0, model))
            }

        @Test
        fun `has as many copies as the goal after surplus copies are removed`() =
            runTest {
                val fleet = FakeEngineFleet(3)
                repeat(3) { fleet.preload(it, model, "v1") }

                controller("r1", fleet).reconcile(goal(copies = 1))

                assertEquals(1, (0..2).count { fleet.loadedVersion(it, model) == "v1" })
                assertEquals(1, fleet.minServingEngines)
            }
    }

    @Nested
    inner class `a lease holder that is paused between its lease check and its command` {
        @Test
        fun `has its command refused by engines that check the token, and sends no further one`() =
            convergesAfterPause(checksFencingTokens = true)

        @Test
        fun `has its command reverted by the new holder on engines that ignore the token`() =
            convergesAfterPause(checksFencingTokens = false)

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
                val loadedAfterLateCommand = fleet.loadedVersion(0, model)
                successor.reconcile(goal(copies = 1, version = "v2"))

                assertEquals(if (checksFencingTokens) "v2" else "v1", loadedAfterLateCommand)
                assertEquals("v2", fleet.loadedVersion(0, model))
                assertEquals(ReconcileOutcome.NOT_HOLDER, paused.reconcile(goal(copies = 1, version = "v1")))
            }
    }

    @Nested
    inner class `two routers with different goals after concurrent operator changes` {
        @Test
        fun `do not hold the lease at the same time, and converge on the final common goal`() =
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
                    assertEquals(3, (0..2).count { fleet.loadedVersion(it, model) == "v2" })
                }
            }
    }

    @Nested
    inner class `a zone that cannot reach the table` {
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
                assertEquals("v1", fleet.loadedVersion(1, model))
            }
    }

    @Nested
    inner class `a lease whose commit response is lost` {
        @Test
        fun `is not held, and the next attempt acquires it with a greater token, so that no token is used twice`() =
            runTest {
                val lease = lease("r1", "x")
                table.dropNextResponses = 1

                val acquiredWithLostResponse = lease.acquire()
                val tokenWhileUnknown = lease.heldToken()
                lease.acquire()

                assertEquals(false, acquiredWithLostResponse)
                assertNull(tokenWhileUnknown)
                assertEquals(clock.wallClockMs() + 2, lease.heldToken())
            }
    }

    @Nested
    inner class `a lease whose row comes back from an older copy` {
        @Test
        fun `has a greater token than its lost holder, guarding against engines that accept the commands of both`() =
            runTest {
                lease("r1", "x").acquire()
                val copy = table.copy()
                clock.advance(LONGER_THAN_LEASE_MS)
                val lost = lease("r2", "x").also { it.acquire() }
                table.comeBackFrom(copy)
                clock.advance(1_000)
                val next = lease("r3", "x").also { it.acquire() }

                assertTrue(checkNotNull(next.heldToken()) > checkNotNull(lost.heldToken()), "tokens of two holders")
            }
    }

    @Nested
    inner class `the number of copies` {
        @Test
        fun `grows when a class misses its target, and shrinks only when half of the remaining copies are enough`() {
            val copiesWhenTargetIsMissed =
                desiredCopies(2, 1, listOf(ClassDemand(offeredLoadEngines = 1.4, metShare = 0.8, targetShare = 0.95)))
            val copiesWhenTargetIsMet =
                desiredCopies(3, 1, listOf(ClassDemand(offeredLoadEngines = 1.4, metShare = 0.99, targetShare = 0.95)))
            val copiesAtLowLoad = desiredCopies(3, 1, listOf(ClassDemand(offeredLoadEngines = 0.5, metShare = 1.0, targetShare = 0.95)))

            assertEquals(3, copiesWhenTargetIsMissed)
            assertEquals(3, copiesWhenTargetIsMet)
            assertEquals(2, copiesAtLowLoad)
            assertEquals(1, desiredCopies(1, 1, emptyList()))
        }
    }

    private fun goal(
        copies: Int,
        version: String = "v1",
    ) = PlacementGoal(model, version, emptySet(), copies)

    private fun controller(
        router: String,
        fleet: EngineFleet,
        leaseName: String = "zone",
    ) = PlacementController(zone, lease(router, leaseName), fleet, weightStore, clock, DiscardingEventLog)

    private var transactionCount = 0

    private fun lease(
        router: String,
        leaseName: String,
    ) = PlacementLease("placement/lease/$leaseName", RouterId(router), table, clock) { "$router-${++transactionCount}" }
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
