package org.lycheemount.platform

/** Receives the rows of one table of the platform's store and their changes. Called by one coroutine. */
interface RowListener {
    /** Called before [onAllRows] with the era of the store to which its rows and later changes belong; null if it has not stated one. */
    fun onEra(era: StoreEra?) {}

    /** Called with all rows of the table, at the start and after a gap in the change history. */
    fun onAllRows(rows: List<StoreRow>)

    /** Called with changed rows in order of change. */
    fun onChangedRows(rows: List<StoreRow>)

    /** Called after [onAllRows] and [onChangedRows], with the version of the store up to which all changes have been passed on. */
    fun onCurrent(version: Long) {}

    /** Called after each successful call to the store, after the rows that it returned were passed on. */
    fun onResponded()

    /** Called when a call to the store failed; [detail] describes the error. */
    fun onFailed(detail: String)

    /** Time in milliseconds after which the listener needs the next call; null if any time will do. */
    val nextCallWithinMs: Long? get() = null
}

/**
 * A row of the platform's store.
 *
 * @property value null when the row was deleted.
 * @property version grows with each change of any row.
 */
class StoreRow(
    val key: String,
    val value: ByteArray?,
    val version: Long,
)
