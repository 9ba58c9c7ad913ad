package org.lycheemount.scheduling

private const val MAX_CAPACITY_BLOCKS = 16_384
private const val MIN_CAPACITY_BLOCKS = 64
private const val GAP_RETENTION_MS = 10_000L
private const val EXPIRY_MS = 600_000L
private const val MISS_SHRINK_FACTOR = 0.9
private const val HIT_GROWTH_BLOCKS = 32

/**
 * Estimate of the prefix cache of one model engine, from this router's own routing and from the engine's cache events.
 *
 * An LRU cache like the engine's own. Its capacity shrinks when the engine has fewer blocks cached than predicted, so that
 * prefixes whose eviction events were lost stop attracting requests.
 */
internal class PrefixIndex {
    private val lastUsedAtMs = LinkedHashMap<Long, Long>()

    /**
     * Whether a block may be absent while a later one of the same prompt is present. Without evictions by events it cannot: a block is
     * stored with all before it, which count as used later.
     */
    private var mayHaveGaps = false

    var capacityBlocks: Int = MAX_CAPACITY_BLOCKS
        private set

    val size: Int get() = lastUsedAtMs.size

    /** Blocks that the engine is expected to hold. */
    fun heldBlocks(): Set<Long> = lastUsedAtMs.keys

    /** Returns how many leading blocks of [prefixHashes] the engine is expected to hold. */
    fun matchedBlocks(
        prefixHashes: List<Long>,
        nowMs: Long,
    ): Int {
        val matched = if (mayHaveGaps) scanMatched(prefixHashes) else searchMatched(prefixHashes)
        if (matched == 0 || isExpired(prefixHashes[matched - 1], nowMs)) return 0
        return matched
    }

    private fun scanMatched(prefixHashes: List<Long>): Int =
        prefixHashes.indexOfFirst { it !in lastUsedAtMs }.let { if (it < 0) prefixHashes.size else it }

    /** Finds the first absent block with a number of lookups that grows with the logarithm of that of the blocks. */
    private fun searchMatched(prefixHashes: List<Long>): Int {
        if (prefixHashes.isEmpty() || prefixHashes.first() !in lastUsedAtMs) return 0
        // No block compares as equal, so the search returns the inverted index of the first absent one.
        return prefixHashes.binarySearch { if (it in lastUsedAtMs) -1 else 1 }.inv()
    }

    fun store(
        prefixHashes: List<Long>,
        nowMs: Long,
    ) {
        // Stores the last block first, so that the leading blocks, which other prompts share, are evicted last.
        for (index in prefixHashes.indices.reversed()) {
            // Removes the block first, because an update would keep its old position in the insertion order.
            lastUsedAtMs.remove(prefixHashes[index])
            lastUsedAtMs[prefixHashes[index]] = nowMs
        }
        trim()
    }

    fun evict(prefixHashes: List<Long>) {
        mayHaveGaps = true
        prefixHashes.forEach { lastUsedAtMs.remove(it) }
    }

    /** Adjusts the capacity by comparing the blocks that a request found in the cache with the prediction at its start. */
    fun onObserved(
        predictedBlocks: Int,
        cachedBlocks: Int,
    ) {
        if (predictedBlocks == 0) return
        if (cachedBlocks * 2 >= predictedBlocks) {
            capacityBlocks = minOf(MAX_CAPACITY_BLOCKS, capacityBlocks + HIT_GROWTH_BLOCKS)
            return
        }
        capacityBlocks = maxOf(MIN_CAPACITY_BLOCKS, (minOf(capacityBlocks, size) * MISS_SHRINK_FACTOR).toInt())
        trim()
    }

    /** Removes blocks that were not used recently, because the lost events may have contained their evictions. */
    fun onEventGap(nowMs: Long) {
        lastUsedAtMs.values.removeIf { nowMs - it > GAP_RETENTION_MS }
    }

    private fun isExpired(
        hash: Long,
        nowMs: Long,
    ) = nowMs - (lastUsedAtMs[hash] ?: 0L) > EXPIRY_MS

    private fun trim() {
        val oldest = lastUsedAtMs.keys.iterator()
        while (lastUsedAtMs.size > capacityBlocks) {
            oldest.next()
            oldest.remove()
        }
    }
}
