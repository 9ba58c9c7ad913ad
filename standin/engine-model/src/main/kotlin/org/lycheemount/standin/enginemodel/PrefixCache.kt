package org.lycheemount.standin.enginemodel

/** Prefix cache of bounded size with least-recently-used eviction. */
internal class PrefixCache(
    private val capacityBlocks: Int,
    private val onStored: (Long) -> Unit,
    private val onEvicted: (Long) -> Unit,
) {
    private val blocks = LinkedHashMap<Long, Unit>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    val size: Int get() = blocks.size

    /** Returns how many leading blocks of [hashes] are cached, without marking them as used. */
    fun countCached(hashes: List<Long>): Int = hashes.indexOfFirst { !blocks.containsKey(it) }.let { if (it < 0) hashes.size else it }

    /** Like [countCached], and marks the blocks as used. */
    fun touchCached(hashes: List<Long>): Int {
        val count = countCached(hashes)
        // Last block first, so that it is also evicted first: a block is useless without its predecessors.
        for (index in count - 1 downTo 0) blocks[hashes[index]]
        return count
    }

    fun store(hashes: List<Long>) {
        for (hash in hashes.take(capacityBlocks).asReversed()) {
            if (blocks.put(hash, Unit) == null) onStored(hash)
        }
        while (blocks.size > capacityBlocks) evictOldest()
    }

    fun clear() {
        while (blocks.isNotEmpty()) evictOldest()
    }

    private fun evictOldest() {
        val oldest = blocks.keys.first()
        blocks.remove(oldest)
        onEvicted(oldest)
    }

    private companion object {
        private const val INITIAL_CAPACITY = 64
        private const val LOAD_FACTOR = 0.75f
    }
}
