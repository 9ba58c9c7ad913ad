package org.lycheemount.stream

import org.lycheemount.common.ModelId
import org.lycheemount.common.RequestId

/** A request for a model's answer, the same for all attempts. */
class CompletionRequest(
    val requestId: RequestId,
    val modelId: ModelId,
    val prompt: String,
    val promptTokens: Int,
    val prefixHashes: List<Long>,
)

/**
 * Silence after which an attempt counts as hung.
 *
 * @property firstChunkMs from the start of the attempt to its first chunk, which includes the engine's own queue.
 * @property nextChunkMs between two chunks.
 */
data class StreamTimeouts(
    val firstChunkMs: Long = 600_000,
    val nextChunkMs: Long = 5_000,
)
