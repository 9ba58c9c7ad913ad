package org.lycheemount.config

/** How the table's configuration relates to the one in force here. */
sealed interface TableSyncState {
    /** The table has not answered since this process started. */
    data object NeverRead : TableSyncState

    /** Both are the same, or the table is ahead for the moment. */
    data object InSync : TableSyncState

    /** The table has lost the versions of [lostItems], as after a restore; an operator can publish them again. */
    data class Restored(
        val headSequence: Long,
        val lostItems: Set<ItemKey>,
    ) : TableSyncState
}
