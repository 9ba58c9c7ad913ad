package org.lycheemount.membership

import org.lycheemount.platform.RowCheck
import org.lycheemount.platform.RowWrite
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableRow
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableTransaction
import java.util.UUID

/** Outcome of [updateRow]. */
internal enum class RowUpdate {
    /** The row was read and needs no change. */
    UNCHANGED,

    /** The row was written. */
    WRITTEN,

    /** The table did not respond, or the row has changed since it was read. The write may have taken effect if the response was lost. */
    FAILED,
}

/**
 * Reads the row [key] and writes the value that [newValue] returns for it; null leaves it unchanged.
 *
 * @param transactionName first part of the id of the transaction.
 * @param newValue gets the current row, or null if there is none.
 */
internal suspend fun TableService.updateRow(
    key: String,
    transactionName: String,
    newValue: (TableRow?) -> String?,
): RowUpdate {
    val current = read(listOf(key)) as? TableResult.Response ?: return RowUpdate.FAILED
    val row = current.value.find(key)
    val value = newValue(row) ?: return RowUpdate.UNCHANGED
    val transaction =
        TableTransaction("$transactionName-${UUID.randomUUID()}", listOf(RowCheck(key, row?.version ?: 0)), listOf(RowWrite(key, value)))
    return if (tryCommit(transaction)) RowUpdate.WRITTEN else RowUpdate.FAILED
}
