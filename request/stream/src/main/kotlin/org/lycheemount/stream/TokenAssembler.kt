package org.lycheemount.stream

import org.lycheemount.backend.GenerateEvent
import org.lycheemount.common.RequestId

/**
 * Puts the chunks of one answer in order by token index. Pure and not thread-safe.
 *
 * Chunks of other requests and tokens that were delivered before are dropped; chunks that come early wait.
 */
class TokenAssembler(
    private val requestId: RequestId,
) {
    private val pendingChunks = sortedMapOf<Int, List<String>>()

    /** Output tokens handed out so far, and so the index of the next one. */
    var deliveredTokens: Int = 0
        private set

    /** Chunks dropped because they belong to another request or repeat delivered tokens. */
    var droppedChunks: Int = 0
        private set

    /** Takes in one chunk and returns the tokens that can be delivered now, in order. */
    fun offer(chunk: GenerateEvent.Tokens): ChunkOutcome {
        if (chunk.requestId != requestId) return dropChunk()
        if (chunk.sequence < 0) return ChunkOutcome.Malformed
        if (chunk.sequence + chunk.tokens.size <= deliveredTokens) return dropChunk()
        if (chunk.sequence > deliveredTokens) return bufferChunk(chunk)
        val newTokens = chunk.tokens.drop(deliveredTokens - chunk.sequence)
        deliveredTokens += newTokens.size
        return ChunkOutcome.Deliver(if (pendingChunks.isEmpty()) newTokens else newTokens + drainPending())
    }

    /** Forgets early chunks before an attempt on another server, which starts at [deliveredTokens]. */
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
        // Engines reorder within a few chunks; more waiting chunks mean that one was lost for good.
        private const val MAX_PENDING_CHUNKS = 1_024
    }
}

/** What follows from one chunk. */
sealed interface ChunkOutcome {
    /** [tokens] continue the answer. */
    data class Deliver(
        val tokens: List<String>,
    ) : ChunkOutcome

    /** The chunk was dropped or waits for an earlier one. */
    data object NoNewTokens : ChunkOutcome

    /** The engine breaks the protocol; the attempt cannot be continued. */
    data object Malformed : ChunkOutcome
}
