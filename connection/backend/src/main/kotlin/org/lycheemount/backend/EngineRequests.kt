package org.lycheemount.backend

import kotlinx.serialization.Serializable
import org.lycheemount.common.ModelId
import org.lycheemount.common.RequestId

/** Body of `POST /v1/cancel`. */
@Serializable
data class CancelRequest(
    val requestId: RequestId,
)

/** Body of `POST /v1/import-cache`. The engine fetches the blocks of [prefixHashes] from the engine at [host]:[port]. */
@Serializable
data class MoveCacheRequest(
    val host: String,
    val port: Int,
    val modelId: ModelId,
    val prefixHashes: List<Long>,
)

/** Response of `POST /v1/import-cache` and of `POST /v1/export-cache`. */
@Serializable
data class MoveCacheResponse(
    val movedBlocks: Int,
)
