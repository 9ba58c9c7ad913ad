package org.lycheemount.config

/** State of the table's configuration compared with the active configuration of this router. */
sealed interface TableSyncState {
    /** The table has not responded since this process started. */
    data object NeverRead : TableSyncState

    /** Both are equal, or the table is temporarily ahead. */
    data object InSync : TableSyncState

    /** The table has lost the versions of [lostItems], for example after a restore. An operator can republish them. */
    data class Restored(
        val headSequence: Long,
        val lostItems: Set<ItemKey>,
    ) : TableSyncState
}
