package org.lycheemount.testing

import org.lycheemount.common.Clock
import org.lycheemount.platform.CommitOutcome
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableRow
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableSnapshot
import org.lycheemount.platform.TableTransaction
import org.lycheemount.platform.TransactionStatus

/** In-memory table with configurable platform faults. */
class FakeTableService(
    private val clock: Clock,
) : TableService {
    private val rows = sortedMapOf<String, TableRow>()
    private val outcomes = mutableMapOf<String, CommitOutcome>()
    private var lastVersion = 0L

    /** While false, every call returns [TableResult.Unavailable]. */
    var isAvailable: Boolean = true

    /** Number of next commits that take effect but whose response is dropped. */
    var dropNextResponses: Int = 0

    /** Number of changes of the rows so far. */
    var changeCount: Int = 0
        private set

    /** Era of the store, which rises by one with each [comeBackFrom]. */
    var era: Long = 1
        private set

    /** Commits that took effect. */
    var commitCount: Int = 0
        private set

    override suspend fun read(keys: List<String>): TableResult<TableSnapshot> = respond { TableSnapshot(keys.mapNotNull(rows::get), now()) }

    override suspend fun scan(
        prefix: String,
        afterKey: String?,
        limit: Int,
    ): TableResult<TableSnapshot> =
        respond {
            val matching =
                rows
                    .tailMap(prefix)
                    .values
                    .asSequence()
                    .takeWhile { it.key.startsWith(prefix) }
                    .filter { afterKey == null || it.key > afterKey }
            TableSnapshot(matching.take(limit).toList(), now())
        }

    override suspend fun commit(transaction: TableTransaction): TableResult<CommitOutcome> {
        if (!isAvailable) return TableResult.Unavailable("table is down")
        val outcome = outcomes.getOrPut(transaction.transactionId) { decide(transaction) }
        if (dropNextResponses > 0) {
            dropNextResponses--
            return TableResult.Unknown("response dropped")
        }
        return TableResult.Response(outcome)
    }

    override suspend fun findTransaction(transactionId: String): TableResult<TransactionStatus> =
        respond { TransactionStatus(outcomes[transactionId], now()) }

    /** Returns a copy of all rows, for a later [restore]. */
    fun copyRows(): List<TableRow> = rows.values.toList()

    /** Restores an older state, to simulate a restored backup. */
    fun restore(older: List<TableRow>) {
        rows.clear()
        older.forEach { rows[it.key] = it }
        changeCount++
    }

    /** Copies all rows, the version counter and the outcomes of transactions. */
    fun copy(): Copy = Copy(copyRows(), lastVersion, outcomes.toMap())

    /** Comes back from [copy]: later changes are gone, their versions are given out again, and a new era begins. */
    fun comeBackFrom(copy: Copy) {
        restore(copy.rows)
        lastVersion = copy.lastVersion
        outcomes.clear()
        outcomes += copy.outcomes
        era++
    }

    /** State of the table at one moment. */
    class Copy internal constructor(
        val rows: List<TableRow>,
        internal val lastVersion: Long,
        internal val outcomes: Map<String, CommitOutcome>,
    )

    private fun decide(transaction: TableTransaction): CommitOutcome {
        val failed = transaction.checks.filter { (rows[it.key]?.version ?: 0L) != it.expectedVersion }
        if (failed.isNotEmpty()) return CommitOutcome.Conflict(failed.mapNotNull { rows[it.key] }, now())
        lastVersion++
        commitCount++
        changeCount++
        for (write in transaction.writes) {
            val value = write.value
            if (value == null) rows.remove(write.key) else rows[write.key] = TableRow(write.key, value, lastVersion)
        }
        return CommitOutcome.Committed(transaction.writes.associate { it.key to lastVersion }, now())
    }

    private fun <T> respond(value: () -> T): TableResult<T> =
        if (isAvailable) TableResult.Response(value()) else TableResult.Unavailable("table is down")

    private fun now() = clock.wallClockMs()
}
