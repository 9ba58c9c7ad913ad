package org.lycheemount.config

import java.util.TreeMap

/**
 * This router's copy of the configuration. The version of an item only increases, regardless of the order in which changes,
 * pages and rows of an older table arrive. Thread-safe.
 */
class ConfigurationReplica : ConfigurationView {
    private val items = TreeMap<ItemKey, ConfigurationItem>(compareBy<ItemKey> { it.kind }.thenBy { it.id })
    private val recentChanges = ArrayDeque<ConfigurationChange>()
    private val itemKeysLostByTable = mutableSetOf<ItemKey>()

    @Volatile
    private var snapshot = ConfigurationSnapshot()

    /** True once a complete configuration has been read from the table or from a peer. */
    @Volatile
    var isLoaded: Boolean = false
        private set

    /** Id of the change at [sequence]; empty if it is unknown. */
    @Volatile
    var lastChangeId: String = ""
        private set

    /** Sequence up to which every change is included. */
    val sequence: Long get() = snapshot.sequence

    override fun current(): ConfigurationSnapshot = snapshot

    /** Returns the item for [key], even if it is deleted, or null if it never existed on this router. */
    @Synchronized
    fun find(key: ItemKey): ConfigurationItem? = items[key]

    /** Returns up to [limit] items after [after] in key order, including deleted ones. */
    @Synchronized
    fun page(
        after: ItemKey?,
        limit: Int,
    ): List<ConfigurationItem> = (if (after == null) items else items.tailMap(after, false)).values.take(limit)

    /** Items whose local version is no longer in the table. */
    @Synchronized
    fun itemsLostByTable(): Set<ItemKey> = itemKeysLostByTable.toSet()

    /** Applies [change] if no earlier change is missing. */
    @Synchronized
    fun apply(change: ConfigurationChange): ApplyOutcome {
        if (change.sequence <= sequence) return ApplyOutcome.AlreadyApplied
        if (change.previousSequence > sequence || !isLoaded) return ApplyOutcome.MissingPredecessor
        // The table was restored and continued from an older state, so the versions in between exist only on routers.
        if (change.previousSequence < sequence) markLostAfter(change.previousSequence)
        put(change.items, change.sequence)
        lastChangeId = change.changeId
        recentChanges += change
        if (recentChanges.size > MAX_RECENT_CHANGES) recentChanges.removeFirst()
        return ApplyOutcome.Applied
    }

    /** Merges the items of [candidates] that are newer than the local ones. The sequence does not change. */
    @Synchronized
    fun merge(candidates: List<ConfigurationItem>) = put(candidates, sequence)

    /** Marks the replica as complete up to [completeSequence]. */
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

    /** Called when the head of the table, [headSequence], is behind this replica. Marks newer items as lost by the table. */
    @Synchronized
    fun onTableBehind(headSequence: Long) = markLostAfter(headSequence)

    /** Marks the local versions of [keys] as present in the table. */
    @Synchronized
    fun markPresentInTable(keys: List<ItemKey>) = itemKeysLostByTable.removeAll(keys.toSet())

    /** Returns the changes after [after] in order, or null if some are no longer in memory. */
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
        // Covers about half an hour at 55,000 changes per day. Peers that are further behind pull the full state.
        private const val MAX_RECENT_CHANGES = 1_000
    }
}

/** Result of applying a change to a [ConfigurationReplica]. */
enum class ApplyOutcome {
    /** The change is active. */
    Applied,

    /** The change was applied before. */
    AlreadyApplied,

    /** An earlier change is missing. */
    MissingPredecessor,
}
