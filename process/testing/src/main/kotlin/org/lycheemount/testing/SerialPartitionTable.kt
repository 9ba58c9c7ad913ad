package org.lycheemount.testing

import kotlinx.coroutines.delay
import org.lycheemount.common.Clock
import org.lycheemount.platform.CommitOutcome
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableSnapshot
import org.lycheemount.platform.TableTransaction

/**
 * A table whose partition handles transactions one after another, as a consistent read of several rows is one too. Refuses transactions
 * while more than a second of them is waiting.
 */
class SerialPartitionTable(
    private val inner: TableService,
    private val clock: Clock,
    transactionsPerSecond: Int,
) : TableService by inner {
    private val serviceUs = 1_000_000L / transactionsPerSecond
    private var freeAtUs = 0L

    /** Transactions that the partition handled, with those that conflicted and consistent reads. */
    var transactionCount: Int = 0
        private set

    /** Transactions that were refused because too many were waiting. */
    var refusedCount: Int = 0
        private set

    override suspend fun read(keys: List<String>): TableResult<TableSnapshot> =
        if (keys.size == 1 || awaitTurn()) inner.read(keys) else TableResult.Unavailable(REFUSAL)

    override suspend fun commit(transaction: TableTransaction): TableResult<CommitOutcome> =
        if (awaitTurn()) inner.commit(transaction) else TableResult.Unavailable(REFUSAL)

    private suspend fun awaitTurn(): Boolean {
        val nowUs = clock.monotonicMs() * 1_000
        if (freeAtUs - nowUs > MAX_WAIT_US) {
            refusedCount++
            return false
        }
        transactionCount++
        freeAtUs = maxOf(freeAtUs, nowUs) + serviceUs
        delay((freeAtUs - nowUs + 999) / 1_000)
        return true
    }

    private companion object {
        private const val MAX_WAIT_US = 1_000_000L
        private const val REFUSAL = "more than a second of transactions is waiting"
    }
}
