package org.lycheemount.origins

import kotlinx.coroutines.delay
import org.lycheemount.common.RouterId
import org.lycheemount.platform.RowWrite
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableRow
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableTransaction

/** Removes the rows that earlier runs of this router have left, once they are of no more use. Thread-safe. */
internal class ObsoleteRowRemover(
    private val table: TableService,
    private val state: OriginState,
    private val routerId: RouterId,
) {
    private val lock = Any()
    private val keys = LinkedHashSet<String>()

    /** The table had [rows] at [tableTimeMs] of its own time. */
    fun onRows(
        rows: List<TableRow>,
        tableTimeMs: Long,
    ) {
        val obsolete = rows.map { it.key }.filter { isObsolete(it, tableTimeMs) }
        synchronized(lock) { keys += obsolete }
    }

    /** Removes the rows that were found, after the streams that they may name have ended. */
    suspend fun run() {
        state.awaitFirstRead()
        delay(OriginJournal.MAX_AGE_MS + OriginJournal.ROW_DURATION_MS)
        while (true) {
            val removed = synchronized(lock) { keys.take(MAX_REMOVED_ROWS) }
            if (removed.isEmpty()) return
            val transaction = TableTransaction(state.nextTransactionId(), emptyList(), removed.map { RowWrite(it, null) })
            val result = table.commit(transaction)
            if (result is TableResult.Response) synchronized(lock) { keys -= removed.toSet() } else delay(state.retryDelayMs())
        }
    }

    /** Whether the row of streams under [key] is of no more use once the last streams of its time have ended. */
    private fun isObsolete(
        key: String,
        tableTimeMs: Long,
    ): Boolean {
        if (!key.startsWith(OriginKeys.STREAMS)) return false
        val begunAtTableTimeMs = OriginKeys.tableTimeMs(key) ?: return true
        val isOfEarlierRun = "/${routerId.value}/" in key && "/${state.runId}/" !in key
        return isOfEarlierRun || tableTimeMs - begunAtTableTimeMs > ABANDONED_AFTER_MS
    }

    private companion object {
        private const val ABANDONED_AFTER_MS = 600_000L
        private const val MAX_REMOVED_ROWS = 80
    }
}
