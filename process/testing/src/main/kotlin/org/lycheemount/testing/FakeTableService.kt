package org.lycheemount.testing

import org.lycheemount.common.Clock
import org.lycheemount.platform.CommitOutcome
import org.lycheemount.platform.StoreEra
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableRow
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableSnapshot
import org.lycheemount.platform.TableTransaction
import org.lycheemount.platform.TransactionStatus

/**
 * In-memory table with configurable platform faults.
 *
 * @param firstEra era that responses state first; null for none.
 */
class FakeTableService(
    private val clock: Clock,
    firstEra: StoreEra? = StoreEra(1),
) : TableService {
    private val rows = sortedMapOf<String, TableRow>()
    private val outcomes = mutableMapOf<String, CommitOutcome>()
    private var lastVersion = 0L

    /** Era that responses state, which rises by one with each [comeBackFrom]; null for none. */
    var era: StoreEra? = firstEra
        private set

    /** While false, every call returns [TableResult.Unavailable]. */
    var isAvailable: Boolean = true

    /** Time of the table minus that of the clock, in milliseconds. */
    var timeStepMs: Long = 0

    /** Number of next commits that take effect but whose response is dropped. */
    var dropNextResponses: Int = 0

    /** Number of changes of the rows so far. */
    var changeCount: Int = 0
        private set

    /** Commits that took effect. */
    var commitCount: Int = 0
        private set

    /** Largest number of checks and writes in a transaction so far. */
    var largestTransaction: Int = 0
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
        largestTransaction = maxOf(largestTransaction, transaction.checks.size + transaction.writes.size)
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

    /** State of the table at one moment, with all transactions that it knows. */
    class Copy internal constructor(
        val rows: List<TableRow>,
        internal val outcomes: Map<String, CommitOutcome>,
        internal val lastVersion: Long,
    )

    fun copy(): Copy = Copy(copyRows(), outcomes.toMap(), lastVersion)

    /** Begins the first era, or a new one. */
    fun beginEra() {
        era = StoreEra((era?.value ?: 0) + 1)
    }

    /** Comes back from [copy] in a new era. Later transactions are gone, and their versions are given out again. */
    fun comeBackFrom(copy: Copy) {
        restore(copy.rows)
        outcomes.clear()
        outcomes.putAll(copy.outcomes)
        lastVersion = copy.lastVersion
        beginEra()
    }

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

    private fun now() = clock.wallClockMs() + timeStepMs
}
