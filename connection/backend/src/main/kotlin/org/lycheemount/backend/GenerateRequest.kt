package org.lycheemount.backend

import kotlinx.serialization.Serializable
import org.lycheemount.common.ModelId
import org.lycheemount.common.RequestId

/**
 * Body of `POST /v1/generate`. Each line of the response is a JSON [EngineChunk].
 *
 * @property priority requests with lower values run first.
 * @property startAtToken number of output tokens already received; the engine resumes after them.
 */
@Serializable
data class GenerateRequest(
    val requestId: RequestId,
    val modelId: ModelId,
    val prompt: String,
    val promptTokens: Int,
    val prefixHashes: List<Long>,
    val maxOutputTokens: Int,
    val priority: Int,
    val startAtToken: Int = 0,
)
