package org.lycheemount.backend

import kotlinx.serialization.Serializable
import org.lycheemount.common.RequestId

/**
 * One line of an engine's response.
 *
 * @property sequence index of the first output token in this chunk, counted from the start of the whole completion.
 * @property finishReason `stop`, `length` or `cancelled` on the last chunk, which has no tokens; null on all others.
 */
@Serializable
data class EngineChunk(
    val requestId: RequestId,
    val sequence: Int,
    val tokens: List<String> = emptyList(),
    val finishReason: String? = null,
    val cachedPromptTokens: Int = 0,
)
