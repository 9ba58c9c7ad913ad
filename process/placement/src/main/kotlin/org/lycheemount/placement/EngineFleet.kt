package org.lycheemount.placement

import org.lycheemount.common.BackendServerId
import org.lycheemount.common.ModelId
import org.lycheemount.common.ZoneId

/** Observes model engines and sends them commands. Safe to call from one coroutine at a time. */
interface EngineFleet {
    /** Returns the engines of [zoneId] that answered. An engine that is missing is unknown, not empty. */
    suspend fun observe(zoneId: ZoneId): List<ObservedEngine>

    /** Sends [command] once with [fencingToken]. */
    suspend fun send(
        command: PlacementCommand,
        fencingToken: Long,
    ): CommandResult
}

/**
 * State that an engine reports of itself.
 *
 * @property loadedModels version of each model that it serves.
 * @property loadedAdapters adapters of each model that it serves.
 * @property modelSlots models that it can hold at once.
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
    /** The engine took the command; its effect shows in later observations. */
    data object Accepted : CommandResult

    /** The engine has seen a greater fencing token, so another controller holds the lease. */
    data object StaleToken : CommandResult

    /** The command may have reached the engine. */
    data object Unknown : CommandResult
}
