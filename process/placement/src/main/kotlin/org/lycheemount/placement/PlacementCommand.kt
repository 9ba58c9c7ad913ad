package org.lycheemount.placement

import org.lycheemount.common.BackendServerId
import org.lycheemount.common.ModelId

/** Command to one engine. */
sealed interface PlacementCommand {
    val backendServerId: BackendServerId
    val modelId: ModelId

    /** Load [version] of the model and replace any other version. With [adapter], load that adapter of the model. */
    data class Load(
        override val backendServerId: BackendServerId,
        override val modelId: ModelId,
        val version: String,
        val adapter: String? = null,
    ) : PlacementCommand

    /** Stop serving the model and free its slot. */
    data class Unload(
        override val backendServerId: BackendServerId,
        override val modelId: ModelId,
        val version: String,
    ) : PlacementCommand
}
