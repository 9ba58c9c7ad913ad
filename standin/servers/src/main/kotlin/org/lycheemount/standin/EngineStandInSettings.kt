package org.lycheemount.standin

import kotlinx.serialization.Serializable
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.ModelId
import org.lycheemount.standin.enginemodel.EngineParameters

/**
 * Settings of one engine stand-in.
 *
 * @property port 0 binds an ephemeral port.
 * @property models version of each model loaded at the start.
 */
@Serializable
data class EngineStandInSettings(
    val backendServerId: BackendServerId = BackendServerId("engine"),
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val models: Map<ModelId, String>,
    val parameters: EngineParameters = EngineParameters(),
    val faults: EngineFaults = EngineFaults(),
    val seed: Int = 1,
)
