package org.lycheemount.app.router

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.lycheemount.backend.BackendHttp
import org.lycheemount.backend.DefaultModelEngineClient
import org.lycheemount.backend.EngineAction
import org.lycheemount.backend.EngineCommand
import org.lycheemount.common.DefaultClock
import org.lycheemount.common.ModelId
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.VmId
import org.lycheemount.common.WorkClassId
import org.lycheemount.config.ConfigurationSnapshot
import org.lycheemount.config.Model
import org.lycheemount.placement.PlacementDependencies
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.WeightLoadPermit
import org.lycheemount.platform.WeightStore
import org.lycheemount.standin.EngineStandInSettings
import org.lycheemount.standin.enginemodel.EngineParameters
import org.lycheemount.standin.startEngineStandIn
import org.lycheemount.testing.FakeEventLog
import org.lycheemount.testing.FakeTableService
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class PlacementSupervisorTest {
    private val modelId = ModelId("m")
    private val engine =
        startEngineStandIn(EngineStandInSettings(models = mapOf(modelId to "1"), parameters = EngineParameters(weightLoadUs = 1_000)))
    private val server = engine.describe()
    private val http = BackendHttp()
    private val client = DefaultModelEngineClient(http)
    private val clock = DefaultClock()
    private val table = FakeTableService(clock)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    @AfterEach
    fun close() {
        scope.cancel()
        http.close()
        engine.close()
    }

    @Nested
    inner class `an engine with an outdated model version` {
        @Test
        fun `gets the configured version after a late command of an earlier controller, even if it ignores fencing tokens`() =
            runBlocking {
                engine.changeFaults { copy(checksFencingToken = false) }
                val earlierScope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
                createSupervisor(version = "2").start(earlierScope)
                awaitLoaded("2")
                earlierScope.cancel()
                client.command(server, EngineCommand(0, EngineAction.LOAD, modelId, "1"))
                awaitLoaded("1")

                createSupervisor(version = "2").start(scope)

                awaitLoaded("2")
                assertEquals(mapOf(modelId to "2"), loadedModels())
            }
    }

    private fun createSupervisor(version: String): PlacementSupervisor {
        val model = Model(modelId, version, defaultWorkClassId = WorkClassId("c"))
        val fleet = BackendEngineFleet(client) { listOf(server) }
        val identity = RouterIdentity(RouterId("router-1"), VmId("vm"), RegionId("r"), server.zoneId, incarnation = 1)
        val dependencies = PlacementDependencies(identity, table, UnlimitedWeightStore, fleet, clock, FakeEventLog(), Random(1))
        return PlacementSupervisor({ ConfigurationSnapshot(models = mapOf(modelId to model)) }, fleet, dependencies)
    }

    private suspend fun loadedModels() = client.load(server)?.loadedModels

    private suspend fun awaitLoaded(version: String) =
        withTimeout(AWAIT_TIMEOUT_MS) {
            // The simulated engine reports its load with a delay.
            while (loadedModels()?.get(modelId) != version) delay(POLL_MS)
        }

    private object UnlimitedWeightStore : WeightStore {
        override suspend fun requestLoad(
            modelId: ModelId,
            version: String,
        ) = TableResult.Response(WeightLoadPermit.Granted)
    }

    private companion object {
        private const val AWAIT_TIMEOUT_MS = 60_000L
        private const val POLL_MS = 20L
    }
}
