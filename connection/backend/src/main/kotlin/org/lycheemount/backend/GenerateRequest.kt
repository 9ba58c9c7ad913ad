package org.lycheemount.backend

import kotlinx.serialization.Serializable
import org.lycheemount.common.ModelId
import org.lycheemount.common.RequestId

/**
 * Body of `POST /v1/generate`. The answer is one JSON [EngineChunk] a line.
 *
 * @property priority lower values run first.
 * @property startAtToken number of output tokens that the caller already has; the engine resumes after them.
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
