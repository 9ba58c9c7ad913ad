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

/** Action that a command requests from an engine. */
@Serializable
enum class EngineAction {
    LOAD,
    UNLOAD,
}

/** Response to a command; [isAccepted] is false if the engine has already seen a higher fencing token. */
@Serializable
data class CommandResponse(
    @SerialName("accepted")
    val isAccepted: Boolean,
    val highestFencingToken: Long,
)
