package org.lycheemount.backend

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.lycheemount.common.ModelId

/** Body of `POST /v1/commands`. */
@Serializable
data class EngineCommand(
    val fencingToken: Long,
    val action: EngineAction,
    val modelId: ModelId,
    val version: String,
    val adapter: String? = null,
)

/** What a command asks of an engine. */
@Serializable
enum class EngineAction {
    LOAD,
    UNLOAD,
}

/** Answer to a command; [isAccepted] is false when the engine has seen a greater fencing token. */
@Serializable
data class CommandResponse(
    @SerialName("accepted")
    val isAccepted: Boolean,
    val highestFencingToken: Long,
)
