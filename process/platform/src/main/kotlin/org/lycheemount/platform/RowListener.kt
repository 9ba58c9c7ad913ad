package org.lycheemount.platform

/** Learns the rows of one table of the platform's store as they change. Called by one coroutine. */
interface RowListener {
    /** All rows of the table, at the start and after a gap in the history of changes. */
    fun onAllRows(rows: List<StoreRow>)

    /** Rows that changed, oldest first. */
    fun onChangedRows(rows: List<StoreRow>)

    /** A call to the store was answered; rows that it brought are passed on before. */
    fun onAnswered()

    /** A call to the store failed for [detail]. */
    fun onFailed(detail: String)
}

/**
 * A row that others keep in the platform's store.
 *
 * @property value null when the row was removed.
 * @property version grows with each change of any row.
 */
class StoreRow(
    val key: String,
    val value: ByteArray?,
    val version: Long,
)
