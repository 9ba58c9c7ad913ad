package org.lycheemount.config

import java.util.TreeMap

/**
 * This router's copy of the configuration. An item only ever moves to a greater version, whatever the order in which changes,
 * pages and copies of older tables arrive. Safe to call from any thread.
 */
class ConfigurationReplica : ConfigurationView {
    private val items = TreeMap<ItemKey, ConfigurationItem>(compareBy<ItemKey> { it.kind }.thenBy { it.id })
    private val recentChanges = ArrayDeque<ConfigurationChange>()
    private val itemKeysLostByTable = mutableSetOf<ItemKey>()

    @Volatile
    private var snapshot = ConfigurationSnapshot()

    /** True once a complete configuration has been taken from the table or from a peer. */
    @Volatile
    var isLoaded: Boolean = false
        private set

    /** Change id of the change at [sequence]; empty when none is known. */
    @Volatile
    var lastChangeId: String = ""
        private set

    /** Every change up to this one is contained. */
    val sequence: Long get() = snapshot.sequence

    override fun current(): ConfigurationSnapshot = snapshot

    /** Returns the item under [key], deleted ones included, or null when it never existed here. */
    @Synchronized
    fun find(key: ItemKey): ConfigurationItem? = items[key]

    /** Returns up to [limit] items in key order after [after], deleted ones included. */
    @Synchronized
    fun page(
        after: ItemKey?,
        limit: Int,
    ): List<ConfigurationItem> = (if (after == null) items else items.tailMap(after, false)).values.take(limit)

    /** Items held here in a version that the table no longer has. */
    @Synchronized
    fun itemsLostByTable(): Set<ItemKey> = itemKeysLostByTable.toSet()

    /** Applies the next change of the chain; a change that skips others is not applied. */
    @Synchronized
    fun apply(change: ConfigurationChange): ApplyOutcome {
        if (change.sequence <= sequence) return ApplyOutcome.AlreadyApplied
        if (change.previousSequence > sequence || !isLoaded) return ApplyOutcome.MissingPredecessor
        // The table continued from an older state than ours: it was restored, and what came between is only held by routers.
        if (change.previousSequence < sequence) markLostAfter(change.previousSequence)
        put(change.items, change.sequence)
        lastChangeId = change.changeId
        recentChanges += change
        if (recentChanges.size > MAX_RECENT_CHANGES) recentChanges.removeFirst()
        return ApplyOutcome.Applied
    }

    /** Takes the newer ones of [candidates] without claiming that they are complete. */
    @Synchronized
    fun merge(candidates: List<ConfigurationItem>) = put(candidates, sequence)

    /** Declares that everything up to [completeSequence] has been merged. */
    @Synchronized
    fun markComplete(
        completeSequence: Long,
        changeId: String,
    ) {
        isLoaded = true
        if (completeSequence <= sequence) return
        recentChanges.clear()
        lastChangeId = changeId
        snapshot = snapshot.copy(sequence = completeSequence)
    }

    /** Notes that the table ends at [headSequence], before what is held here. */
    @Synchronized
    fun onTableBehind(headSequence: Long) = markLostAfter(headSequence)

    /** Notes that the table holds [keys] in the versions held here. */
    @Synchronized
    fun markPresentInTable(keys: List<ItemKey>) = itemKeysLostByTable.removeAll(keys.toSet())

    /** Returns the changes after [after] in order, or null when they are not all held in memory any more. */
    @Synchronized
    fun changesAfter(after: Long): List<ConfigurationChange>? {
        if (after >= sequence) return emptyList()
        val start = recentChanges.indexOfFirst { it.sequence > after }
        if (start < 0 || recentChanges[start].previousSequence > after) return null
        return recentChanges.drop(start)
    }

    private fun markLostAfter(tableSequence: Long) {
        items.values.filter { it.version > tableSequence }.forEach { itemKeysLostByTable += it.key }
    }

    private fun put(
        candidates: List<ConfigurationItem>,
        sequence: Long,
    ) {
        val builder = SnapshotBuilder(snapshot)
        for (item in candidates) {
            if (item.version <= (items[item.key]?.version ?: 0)) continue
            builder.put(item)
            items[item.key] = item
            itemKeysLostByTable -= item.key
        }
        snapshot = builder.build(sequence)
    }

    private companion object {
        // Covers about half an hour at 55,000 changes a day; peers further behind are sent whole pages.
        private const val MAX_RECENT_CHANGES = 1_000
    }
}

/** What became of a change offered to a [ConfigurationReplica]. */
enum class ApplyOutcome {
    /** The change is in force. */
    Applied,

    /** The change was in force before. */
    AlreadyApplied,

    /** An earlier change is missing. */
    MissingPredecessor,
}
