package org.lycheemount.caller.routed

import java.util.Objects

/**
 * Chained hashes of the blocks of [BLOCK_TOKENS] tokens of a prompt with [segments], in prompt order. A block that spans segments belongs
 * to the last of them. A hash is computed when it is read, so that the memory depends on the number of segments, not on their tokens.
 */
internal class PrefixHashes(
    segments: List<PromptSegment>,
) : AbstractList<Long>(),
    RandomAccess {
    private val chains = LongArray(segments.size)

    /** Number of blocks up to the end of each segment. */
    private val endBlocks = IntArray(segments.size)

    init {
        var chain = HASH_SEED
        var tokens = 0L
        for ((index, segment) in segments.withIndex()) {
            chain = mix(chain xor segment.id)
            tokens += segment.tokens
            chains[index] = chain
            endBlocks[index] = minOf(tokens / BLOCK_TOKENS, MAX_BLOCKS).toInt()
        }
    }

    override val size: Int = endBlocks.lastOrNull() ?: 0

    override fun get(index: Int): Long {
        Objects.checkIndex(index, size)
        val segment = segmentOf(index)
        val startBlock = if (segment == 0) 0 else endBlocks[segment - 1]
        return mix(chains[segment] + (index - startBlock + 1))
    }

    /** Returns the first segment that ends behind [block]. */
    private fun segmentOf(block: Int): Int {
        var low = 0
        var high = endBlocks.size - 1
        while (low < high) {
            val middle = (low + high) / 2
            if (endBlocks[middle] > block) high = middle else low = middle + 1
        }
        return low
    }

    internal companion object {
        /** Small enough to distinguish the segments of prompts, large enough for cheap comparisons. */
        const val BLOCK_TOKENS = 64

        /** No model engine caches more of one prompt. */
        const val MAX_BLOCKS = 8_192L
    }
}

/** Hash of all segments but the last, which belongs to the request or its session alone; or of the only segment. */
internal fun affinityHash(segments: List<PromptSegment>): Long? {
    if (segments.isEmpty()) return null
    return segments.dropLast(1).ifEmpty { segments }.fold(HASH_SEED) { chain, segment -> mix(chain xor segment.id) }
}

private fun mix(value: Long): Long {
    val multiplied = value * HASH_MULTIPLIER
    return multiplied xor (multiplied ushr HASH_SHIFT)
}

private const val HASH_SEED = 0x2545F4914F6CDD1DL
private const val HASH_MULTIPLIER = -0x61c8864680b583ebL
private const val HASH_SHIFT = 29
