package org.lycheemount.placement

import org.lycheemount.common.BackendServerId
import org.lycheemount.common.ModelId

/** One change to one engine. */
sealed interface PlacementCommand {
    val backendServerId: BackendServerId
    val modelId: ModelId

    /** Load [version] of the model, in place of another version of it; with [adapter], load that adapter. */
    data class Load(
        override val backendServerId: BackendServerId,
        override val modelId: ModelId,
        val version: String,
        val adapter: String? = null,
    ) : PlacementCommand

    /** Stop to serve the model and free its place. */
    data class Unload(
        override val backendServerId: BackendServerId,
        override val modelId: ModelId,
        val version: String,
    ) : PlacementCommand
}
