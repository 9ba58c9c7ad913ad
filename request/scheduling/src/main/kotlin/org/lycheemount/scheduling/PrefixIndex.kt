package org.lycheemount.scheduling

private const val MAX_CAPACITY_BLOCKS = 16_384
private const val MIN_CAPACITY_BLOCKS = 64
private const val GAP_RETENTION_MS = 10_000L
private const val EXPIRY_MS = 600_000L
private const val MISS_SHRINK_FACTOR = 0.9
private const val HIT_GROWTH_BLOCKS = 32

/**
 * What one model engine probably holds in its prefix cache, learned from own routing and from the engine's events.
 *
 * Bounded: the least recently used blocks are forgotten first, as the engine does. The bound shrinks when the engine
 * has less in its cache than predicted, so that evicted prefixes whose events were lost stop attracting work.
 */
internal class PrefixIndex {
    private val lastUsedAtMs = LinkedHashMap<Long, Long>()

    var capacityBlocks: Int = MAX_CAPACITY_BLOCKS
        private set

    val size: Int get() = lastUsedAtMs.size

    /** Number of leading blocks of [prefixHashes] that the engine probably holds. */
    fun matchedBlocks(
        prefixHashes: List<Long>,
        nowMs: Long,
    ): Int {
        var matched = 0
        for (hash in prefixHashes) {
            if (!lastUsedAtMs.containsKey(hash)) break
            matched++
        }
        if (matched == 0 || isExpired(prefixHashes[matched - 1], nowMs)) return 0
        return matched
    }

    fun store(
        prefixHashes: List<Long>,
        nowMs: Long,
    ) {
        // From the end of the chain to its start, so that the start, which other prompts share, is forgotten last.
        for (index in prefixHashes.indices.reversed()) {
            // A plain put would keep the block's old place in the order of use.
            lastUsedAtMs.remove(prefixHashes[index])
            lastUsedAtMs[prefixHashes[index]] = nowMs
        }
        trim()
    }

    fun evict(prefixHashes: List<Long>) = prefixHashes.forEach { lastUsedAtMs.remove(it) }

    /** Compares the blocks that an answer found in the cache with the prediction made when it was routed. */
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

    /** Forgets what is not in recent use, because lost events may have named it as evicted. */
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
