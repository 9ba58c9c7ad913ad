package org.lycheemount.standin.enginemodel

import kotlin.random.Random

/** Published cache events; a page lists the net effect of the events after a sequence number. */
data class CacheEventView(
    val lastSequence: Long,
    val storedPrefixHashes: List<Long>,
    val evictedPrefixHashes: List<Long>,
    val hasGap: Boolean,
)

/** Keeps the newest cache events, published late and in part lost. */
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
