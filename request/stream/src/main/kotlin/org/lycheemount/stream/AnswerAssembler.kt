package org.lycheemount.stream

import org.lycheemount.backend.GenerateEvent
import org.lycheemount.common.RequestId

/**
 * Puts the chunks of one answer in order by token index. Pure and not thread-safe.
 *
 * Chunks of other requests and tokens that were delivered before are dropped; chunks that come early wait.
 */
class AnswerAssembler(
    private val requestId: RequestId,
) {
    private val early = sortedMapOf<Int, List<String>>()

    /** Output tokens handed out so far, and so the index of the next one. */
    var deliveredTokens: Int = 0
        private set

    /** Chunks dropped because they belong to another request or repeat delivered tokens. */
    var droppedChunks: Int = 0
        private set

    /** Takes in one chunk and returns the tokens that can be delivered now, in order. */
    fun offer(chunk: GenerateEvent.Tokens): ChunkOutcome {
        if (chunk.requestId != requestId) return drop()
        if (chunk.sequence < 0) return ChunkOutcome.Malformed
        if (chunk.sequence + chunk.tokens.size <= deliveredTokens) return drop()
        if (chunk.sequence > deliveredTokens) return hold(chunk)
        val first = chunk.tokens.drop(deliveredTokens - chunk.sequence)
        deliveredTokens += first.size
        return ChunkOutcome.Deliver(if (early.isEmpty()) first else first + releaseEarly())
    }

    /** Forgets early chunks before an attempt on another server, which starts at [deliveredTokens]. */
    fun beginAttempt() = early.clear()

    private fun drop(): ChunkOutcome {
        droppedChunks++
        return ChunkOutcome.Nothing
    }

    private fun hold(chunk: GenerateEvent.Tokens): ChunkOutcome {
        if (early.size >= MAX_EARLY_CHUNKS) return ChunkOutcome.Malformed
        val present = early[chunk.sequence]
        if (present == null || present.size < chunk.tokens.size) early[chunk.sequence] = chunk.tokens
        return ChunkOutcome.Nothing
    }

    private fun releaseEarly(): List<String> {
        val released = mutableListOf<String>()
        while (early.isNotEmpty() && early.firstKey() <= deliveredTokens) {
            val sequence = early.firstKey()
            val fresh = early.getValue(sequence).drop(deliveredTokens - sequence)
            early.remove(sequence)
            released += fresh
            deliveredTokens += fresh.size
        }
        return released
    }

    private companion object {
        // Engines reorder within a few chunks; more waiting chunks mean that one was lost for good.
        private const val MAX_EARLY_CHUNKS = 1_024
    }
}

/** What follows from one chunk. */
sealed interface ChunkOutcome {
    /** [tokens] continue the answer. */
    data class Deliver(
        val tokens: List<String>,
    ) : ChunkOutcome

    /** The chunk was dropped or waits for an earlier one. */
    data object Nothing : ChunkOutcome

    /** The engine breaks the protocol; the attempt cannot be continued. */
    data object Malformed : ChunkOutcome
}
