package org.lycheemount.app.router

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.lycheemount.common.ModelId
import org.lycheemount.config.ConfigurationView
import org.lycheemount.config.Model
import org.lycheemount.placement.ClassDemand
import org.lycheemount.placement.PlacementDependencies
import org.lycheemount.placement.PlacementGoal
import org.lycheemount.placement.desiredCopies
import org.lycheemount.placement.launchPlacement

/** Runs one placement controller for each configured model in this router's zone. A lease lets only one router of the zone act. */
internal class PlacementSupervisor(
    private val configuration: ConfigurationView,
    private val fleet: BackendEngineFleet,
    private val dependencies: PlacementDependencies,
) {
    private val zoneId = dependencies.identity.zoneId
    private val placementJobs = HashMap<ModelId, Job>()

    /** Starts and stops placement controllers in [scope] as models are added to and removed from the configuration. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                val models = configuration.current().models.keys
                for (modelId in models - placementJobs.keys) {
                    placementJobs[modelId] =
                        launchPlacement(modelId, dependencies, scope) { placementGoal(modelId) }
                }
                for (modelId in placementJobs.keys - models) placementJobs.remove(modelId)?.cancel()
                delay(MODEL_POLL_INTERVAL_MS)
            }
        }
    }

    /** Returns null if the zone has no engines or [modelId] is no longer configured. */
    private suspend fun placementGoal(modelId: ModelId): PlacementGoal? {
        val models = configuration.current().models
        val model = models[modelId] ?: return null
        val engineCount = fleet.engineCount(zoneId)
        if (engineCount == 0) return null
        val copies = if (models.size == 1) engineCount else copiesForDemand(model)
        return PlacementGoal(modelId, model.version, model.adapters, copies)
    }

    /** Used only if several models compete for engines: with a single model, every engine keeps its copy regardless of demand. */
    private suspend fun copiesForDemand(model: Model): Int {
        val slotUtilizations = fleet.slotUtilizations(zoneId, model.modelId)
        val demand = ClassDemand(slotUtilizations.sum(), metShare = 1.0, targetShare = 1.0)
        return desiredCopies(slotUtilizations.size, model.minimumCopies, listOf(demand))
    }

    private companion object {
        private const val MODEL_POLL_INTERVAL_MS = 2_000L
    }
}
