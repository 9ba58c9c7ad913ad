package org.lycheemount.placement

import org.lycheemount.common.BackendServerId
import org.lycheemount.common.ModelId
import org.lycheemount.common.ZoneId

/** Fake engines that apply commands immediately, except for loads while [deferLoads] is set. */
internal class FakeEngineFleet(
    engineCount: Int,
    private val checksFencingTokens: Boolean = true,
    private val modelSlots: Int = 1,
) : EngineFleet {
    private val loadedModels = (0 until engineCount).associate { BackendServerId("engine-$it") to HashMap<ModelId, String>() }
    private val highestFencingTokens = HashMap<BackendServerId, Long>()
    private val deferredLoads = ArrayList<() -> Unit>()

    /** Runs once, before the next command takes effect. */
    var beforeNextCommand: (suspend () -> Unit)? = null

    /** While true, loads take effect only on [completeDeferredLoads]. */
    var deferLoads = false
    val commands = ArrayList<PlacementCommand>()

    /** Minimum number of engines that served any version of a model after a command. */
    var minServingEngines = Int.MAX_VALUE
        private set

    fun loadedVersion(
        index: Int,
        modelId: ModelId,
    ): String? = loadedModels.getValue(BackendServerId("engine-$index"))[modelId]

    fun preload(
        index: Int,
        modelId: ModelId,
        version: String,
    ) {
        loadedModels.getValue(BackendServerId("engine-$index"))[modelId] = version
    }

    fun completeDeferredLoads() {
        deferredLoads.forEach { it() }
        deferredLoads.clear()
    }

    override suspend fun observe(zoneId: ZoneId): List<ObservedEngine> =
        loadedModels.map { (id, loaded) -> ObservedEngine(id, leaving = false, loadedModels = loaded.toMap(), modelSlots = modelSlots) }

    override suspend fun send(
        command: PlacementCommand,
        fencingToken: Long,
    ): CommandResult {
        beforeNextCommand?.let {
            beforeNextCommand = null
            it()
        }
        val id = command.backendServerId
        if (checksFencingTokens && fencingToken < (highestFencingTokens[id] ?: 0)) return CommandResult.StaleToken
        highestFencingTokens.merge(id, fencingToken, ::maxOf)
        commands += command
        when (command) {
            is PlacementCommand.Load -> load(command)
            is PlacementCommand.Unload -> loadedModels.getValue(id).remove(command.modelId)
        }
        minServingEngines = minOf(minServingEngines, loadedModels.values.count { command.modelId in it })
        return CommandResult.Accepted
    }

    private fun load(command: PlacementCommand.Load) {
        val apply = { loadedModels.getValue(command.backendServerId)[command.modelId] = command.version }
        if (deferLoads) deferredLoads += apply else apply()
    }
}
