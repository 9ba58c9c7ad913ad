package org.lycheemount.placement

import org.lycheemount.common.BackendServerId
import org.lycheemount.common.ModelId
import org.lycheemount.common.ZoneId

/** Observes model engines and sends commands to them. Not safe for concurrent use. */
interface EngineFleet {
    /** Returns the engines of [zoneId] that responded. The state of a missing engine is unknown. */
    suspend fun observe(zoneId: ZoneId): List<ObservedEngine>

    /** Sends [command] once, without retries, with [fencingToken]. */
    suspend fun send(
        command: PlacementCommand,
        fencingToken: Long,
    ): CommandResult
}

/**
 * State reported by an engine.
 *
 * @property loadedModels version of each served model.
 * @property loadedAdapters adapters of each served model.
 * @property modelSlots number of models that it can hold at once.
 */
data class ObservedEngine(
    val backendServerId: BackendServerId,
    val leaving: Boolean,
    val loadedModels: Map<ModelId, String>,
    val loadedAdapters: Map<ModelId, Set<String>> = emptyMap(),
    val modelSlots: Int = 1,
)

/** Result of sending a command. */
sealed interface CommandResult {
    /** The engine accepted the command. Its effect shows in later observations. */
    data object Accepted : CommandResult

    /** The engine has seen a greater fencing token, so another controller holds the lease. */
    data object StaleToken : CommandResult

    /** The command may have reached the engine. */
    data object Unknown : CommandResult
}
