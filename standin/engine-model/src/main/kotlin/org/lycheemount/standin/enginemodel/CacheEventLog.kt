package org.lycheemount.standin.enginemodel

import kotlin.random.Random

/** Net effect of the published cache events after a sequence number; [hasGap] is true if some of them are missing. */
data class CacheEventView(
    val lastSequence: Long,
    val storedPrefixHashes: List<Long>,
    val evictedPrefixHashes: List<Long>,
    val hasGap: Boolean,
)

/** Bounded log of cache events, with a publication delay and simulated loss. */
internal class CacheEventLog(
    private val parameters: EngineParameters,
    private val random: Random,
) {
    private class Entry(
        val sequence: Long,
        val atUs: Long,
        val hash: Long,
        val isStored: Boolean,
    )

    private val entries = ArrayDeque<Entry>()
    private var nextSequence = 1L
    var lossShare = parameters.cacheEventLossShare

    fun append(
        hash: Long,
        isStored: Boolean,
        atUs: Long,
    ) {
        val sequence = nextSequence++
        val lost = lossShare > 0 && random.nextDouble() < lossShare
        if (lost) return
        entries.addLast(Entry(sequence, atUs, hash, isStored))
        if (entries.size > parameters.cacheEventBuffer) entries.removeFirst()
    }

    fun read(
        afterSequence: Long,
        nowUs: Long,
    ): CacheEventView {
        val visible = entries.filter { it.sequence > afterSequence && it.atUs + parameters.cacheEventDelayUs <= nowUs }
        val hasGap = visible.isNotEmpty() && visible.last().sequence - afterSequence != visible.size.toLong()
        val net = LinkedHashMap<Long, Boolean>()
        for (entry in visible) {
            net.remove(entry.hash)
            net[entry.hash] = entry.isStored
        }
        return CacheEventView(
            lastSequence = visible.lastOrNull()?.sequence ?: afterSequence,
            storedPrefixHashes = net.filterValues { it }.keys.toList(),
            evictedPrefixHashes = net.filterValues { !it }.keys.toList(),
            hasGap = hasGap,
        )
    }
}
