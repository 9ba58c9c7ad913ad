package org.lycheemount.stream

import org.lycheemount.common.ModelId
import org.lycheemount.common.RequestId

/** A completion request, identical for all of its attempts. */
class CompletionRequest(
    val requestId: RequestId,
    val modelId: ModelId,
    val prompt: String,
    val promptTokens: Int,
    val prefixHashes: List<Long>,
)

/**
 * Timeouts without data after which an attempt is considered hung.
 *
 * @property firstChunkMs from the start of the attempt to its first chunk, including time in the engine's queue.
 * @property nextChunkMs between two chunks.
 */
data class StreamTimeouts(
    val firstChunkMs: Long = 600_000,
    val nextChunkMs: Long = 5_000,
)
