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

/** Runs the placement of each configured model in this router's zone; the lease lets one router of the zone act. */
internal class PlacementParts(
    private val configuration: ConfigurationView,
    private val fleet: BackendEngineFleet,
    private val dependencies: PlacementDependencies,
) {
    private val zoneId = dependencies.identity.zoneId
    private val running = HashMap<ModelId, Job>()

    /** Follows the configured models in [scope]. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                val models = configuration.current().models.keys
                for (modelId in models - running.keys) running[modelId] = launchPlacement(modelId, dependencies, scope) { goalOf(modelId) }
                for (modelId in running.keys - models) running.remove(modelId)?.cancel()
                delay(MODELS_INTERVAL_MS)
            }
        }
    }

    /** Returns null without engines in the zone, and for a model that is no longer configured. */
    private suspend fun goalOf(modelId: ModelId): PlacementGoal? {
        val models = configuration.current().models
        val model = models[modelId] ?: return null
        val engineCount = fleet.count(zoneId)
        if (engineCount == 0) return null
        val copies = if (models.size == 1) engineCount else copiesByDemand(model)
        return PlacementGoal(modelId, model.version, model.adapters, copies)
    }

    /** An engine without another model to serve keeps its copy, so demand counts only where models compete for engines. */
    private suspend fun copiesByDemand(model: Model): Int {
        val busyShares = fleet.busyShares(zoneId, model.modelId)
        val demand = ClassDemand(busyShares.sum(), metShare = 1.0, targetShare = 1.0)
        return desiredCopies(busyShares.size, model.minimumCopies, listOf(demand))
    }

    private companion object {
        private const val MODELS_INTERVAL_MS = 2_000L
    }
}
