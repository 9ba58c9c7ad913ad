package org.lycheemount.stream

import org.lycheemount.backend.GenerateEvent
import org.lycheemount.common.RequestId

/**
 * Reorders the chunks of one completion by token index. Does no I/O; not thread-safe.
 *
 * Chunks of other requests and tokens that were delivered before are dropped. Chunks that arrive early are buffered.
 */
class TokenAssembler(
    private val requestId: RequestId,
) {
    private val pendingChunks = sortedMapOf<Int, List<String>>()

    /** Output tokens delivered so far, which is also the index of the next token. */
    var deliveredTokens: Int = 0
        private set

    /** Number of chunks dropped because they belong to another request or repeat delivered tokens. */
    var droppedChunks: Int = 0
        private set

    /** Adds [chunk] and returns the tokens that can now be delivered, in order. */
    fun offer(chunk: GenerateEvent.Tokens): ChunkOutcome {
        if (chunk.requestId != requestId) return dropChunk()
        if (chunk.sequence < 0) return ChunkOutcome.Malformed
        if (chunk.sequence + chunk.tokens.size <= deliveredTokens) return dropChunk()
        if (chunk.sequence > deliveredTokens) return bufferChunk(chunk)
        val newTokens = chunk.tokens.drop(deliveredTokens - chunk.sequence)
        deliveredTokens += newTokens.size
        return ChunkOutcome.Deliver(if (pendingChunks.isEmpty()) newTokens else newTokens + drainPending())
    }

    /** Discards buffered chunks before an attempt on another server, which resumes at [deliveredTokens]. */
    fun beginAttempt() = pendingChunks.clear()

    private fun dropChunk(): ChunkOutcome {
        droppedChunks++
        return ChunkOutcome.NoNewTokens
    }

    private fun bufferChunk(chunk: GenerateEvent.Tokens): ChunkOutcome {
        if (pendingChunks.size >= MAX_PENDING_CHUNKS) return ChunkOutcome.Malformed
        val existing = pendingChunks[chunk.sequence]
        if (existing == null || existing.size < chunk.tokens.size) pendingChunks[chunk.sequence] = chunk.tokens
        return ChunkOutcome.NoNewTokens
    }

    private fun drainPending(): List<String> {
        val drained = mutableListOf<String>()
        while (pendingChunks.isNotEmpty() && pendingChunks.firstKey() <= deliveredTokens) {
            val sequence = pendingChunks.firstKey()
            val newTokens = pendingChunks.getValue(sequence).drop(deliveredTokens - sequence)
            pendingChunks.remove(sequence)
            drained += newTokens
            deliveredTokens += newTokens.size
        }
        return drained
    }

    private companion object {
        // Engines reorder chunks by a few positions only; a larger backlog means that a chunk was lost.
        private const val MAX_PENDING_CHUNKS = 1_024
    }
}

/** Result of adding a chunk. */
sealed interface ChunkOutcome {
    /** [tokens] are the next tokens of the completion. */
    data class Deliver(
        val tokens: List<String>,
    ) : ChunkOutcome

    /** The chunk was dropped, or is buffered until an earlier one arrives. */
    data object NoNewTokens : ChunkOutcome

    /** The engine violated the protocol; the attempt cannot continue. */
    data object Malformed : ChunkOutcome
}
