package org.lycheemount.standin

import org.lycheemount.common.Clock
import org.lycheemount.platform.CommitOutcome
import org.lycheemount.platform.TableRow
import org.lycheemount.platform.TableSnapshot
import org.lycheemount.platform.TableTransaction
import org.lycheemount.platform.TransactionStatus
import java.util.TreeMap

/** Rows and transaction outcomes of the table stand-in. Thread-safe. */
class TableState(
    private val clock: Clock,
) {
    private class Decision(
        val outcome: CommitOutcome,
        val decidedAtMs: Long,
    )

    private var rows = TreeMap<String, TableRow>()
    private val decisions = LinkedHashMap<String, Decision>()
    private val snapshots = HashMap<String, TreeMap<String, TableRow>>()
    private var lastVersion = 0L

    /** Commits that took effect. */
    @get:Synchronized
    var commitCount: Long = 0
        private set

    /** Reads [keys] in one snapshot. */
    @Synchronized
    fun read(keys: List<String>): TableSnapshot = TableSnapshot(keys.mapNotNull(rows::get), clock.wallClockMs())

    /** Reads up to [limit] rows with [prefix] after [afterKey]. */
    @Synchronized
    fun scan(
        prefix: String,
        afterKey: String?,
        limit: Int,
    ): TableSnapshot {
        val from = if (afterKey != null && afterKey >= prefix) rows.tailMap(afterKey, false) else rows.tailMap(prefix, true)
        val found =
            from.values
                .asSequence()
                .takeWhile { it.key.startsWith(prefix) }
                .take(limit)
                .toList()
        return TableSnapshot(found, clock.wallClockMs())
    }

    /** Commits or rejects [transaction]. A repeated transaction id gets the first outcome again. */
    @Synchronized
    fun commit(transaction: TableTransaction): CommitOutcome {
        val nowMs = clock.monotonicMs()
        removeExpiredDecisions(nowMs)
        return decisions.getOrPut(transaction.transactionId) { Decision(decide(transaction), nowMs) }.outcome
    }

    /** Returns the outcome of a transaction id, if one is known. */
    @Synchronized
    fun find(transactionId: String): TransactionStatus = TransactionStatus(decisions[transactionId]?.outcome, clock.wallClockMs())

    /** Writes initial rows without version checks. */
    @Synchronized
    fun seed(values: Map<String, String>) {
        lastVersion++
        values.forEach { (key, value) -> rows[key] = TableRow(key, value, lastVersion) }
    }

    /** Saves a snapshot of all rows under [name]. */
    @Synchronized
    fun copy(name: String) {
        snapshots[name] = TreeMap(rows)
    }

    /** Restores all rows from the snapshot [name], to simulate a restored backup; false if there is none. */
    @Synchronized
    fun restore(name: String): Boolean {
        rows = TreeMap(snapshots[name] ?: return false)
        return true
    }

    private fun decide(transaction: TableTransaction): CommitOutcome {
        val failed = transaction.checks.filter { (rows[it.key]?.version ?: 0L) != it.expectedVersion }
        if (failed.isNotEmpty()) return CommitOutcome.Conflict(failed.mapNotNull { rows[it.key] }, clock.wallClockMs())
        lastVersion++
        commitCount++
        for (write in transaction.writes) {
            val value = write.value
            if (value == null) rows.remove(write.key) else rows[write.key] = TableRow(write.key, value, lastVersion)
        }
        return CommitOutcome.Committed(transaction.writes.associate { it.key to lastVersion }, clock.wallClockMs())
    }

    private fun removeExpiredDecisions(nowMs: Long) {
        val iterator = decisions.values.iterator()
        while (iterator.hasNext() && iterator.next().decidedAtMs < nowMs - DECISION_LIFETIME_MS) iterator.remove()
    }

    private companion object {
        /** Slightly over an hour: the table interface guarantees that outcomes are kept for one hour. */
        private const val DECISION_LIFETIME_MS = 4_000_000L
    }
}
