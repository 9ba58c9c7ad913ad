package org.lycheemount.app.router

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.lycheemount.backend.EngineAction
import org.lycheemount.backend.EngineCommand
import org.lycheemount.backend.EngineLoad
import org.lycheemount.backend.ModelEngineClient
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.ModelId
import org.lycheemount.common.ZoneId
import org.lycheemount.placement.CommandResult
import org.lycheemount.placement.EngineFleet
import org.lycheemount.placement.ObservedEngine
import org.lycheemount.placement.PlacementCommand

/** The model engines of the VM list. Reads their state and sends them commands over HTTP. */
internal class BackendEngineFleet(
    private val engines: ModelEngineClient,
    private val servers: () -> Collection<BackendServer>,
) : EngineFleet {
    override suspend fun observe(zoneId: ZoneId): List<ObservedEngine> =
        engineLoads(zoneId).map { (server, load) ->
            ObservedEngine(server.backendServerId, server.leaving || load.leaving, load.baseModels(), load.adapters())
        }

    override suspend fun send(
        command: PlacementCommand,
        fencingToken: Long,
    ): CommandResult {
        val server = servers().find { it.backendServerId == command.backendServerId } ?: return CommandResult.Unknown
        val response = engines.command(server, command.toEngineCommand(fencingToken)) ?: return CommandResult.Unknown
        return if (response.isAccepted) CommandResult.Accepted else CommandResult.StaleToken
    }

    /** Returns (running + queued requests) / capacity for each engine in [zoneId] that has [modelId] loaded and responded. */
    suspend fun slotUtilizations(
        zoneId: ZoneId,
        modelId: ModelId,
    ): List<Double> =
        engineLoads(zoneId).map { it.second }.filter { modelId in it.loadedModels }.map {
            (it.runningRequests + it.queuedRequests).toDouble() / it.capacity.coerceAtLeast(1)
        }

    /** Number of model engines in [zoneId] according to the VM list. */
    fun engineCount(zoneId: ZoneId): Int = enginesIn(zoneId).size

    private suspend fun engineLoads(zoneId: ZoneId): List<Pair<BackendServer, EngineLoad>> =
        coroutineScope {
            enginesIn(zoneId).map { server -> async { engines.load(server)?.let { server to it } } }.awaitAll().filterNotNull()
        }

    private fun enginesIn(zoneId: ZoneId) =
        servers().filter {
            it.zoneId == zoneId &&
                it.targets.any { target -> target is BackendTarget.Model }
        }
}

// Engines report each adapter as a separate model named `model:adapter`.
private const val ADAPTER_SEPARATOR = ':'

private fun EngineLoad.baseModels() = loadedModels.filterKeys { ADAPTER_SEPARATOR !in it.value }

private fun EngineLoad.adapters(): Map<ModelId, Set<String>> =
    loadedModels.keys
        .filter { ADAPTER_SEPARATOR in it.value }
        .groupBy({ ModelId(it.value.substringBefore(ADAPTER_SEPARATOR)) }, { it.value.substringAfter(ADAPTER_SEPARATOR) })
        .mapValues { it.value.toSet() }

private fun PlacementCommand.toEngineCommand(fencingToken: Long): EngineCommand =
    when (this) {
        is PlacementCommand.Load -> EngineCommand(fencingToken, EngineAction.LOAD, modelId, version, adapter)
        is PlacementCommand.Unload -> EngineCommand(fencingToken, EngineAction.UNLOAD, modelId, version)
    }
