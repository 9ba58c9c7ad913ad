package org.lycheemount.measure.control

import org.lycheemount.common.Clock
import org.lycheemount.platform.CommitOutcome
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableSnapshot
import org.lycheemount.platform.TableTransaction
import org.lycheemount.platform.TransactionStatus

/** Counts calls and rows of [delegate], in total, and reads also by second. */
internal class CountingTableService(
    private val delegate: TableService,
    private val clock: Clock,
) : TableService {
    private val readsBySecond = mutableMapOf<Long, Int>()

    var reads = 0L
        private set
    var rowsRead = 0L
        private set
    var commits = 0L
        private set
    var rowsWritten = 0L
        private set

    /** Returns the maximum number of reads, scans and transaction lookups within one second since [fromMs]. */
    fun maxReadsPerSecond(fromMs: Long): Int = readsBySecond.filterKeys { it >= fromMs / MS_PER_SECOND }.values.maxOrNull() ?: 0

    override suspend fun read(keys: List<String>): TableResult<TableSnapshot> = countRowsRead { delegate.read(keys) }

    override suspend fun scan(
        prefix: String,
        afterKey: String?,
        limit: Int,
    ): TableResult<TableSnapshot> = countRowsRead { delegate.scan(prefix, afterKey, limit) }

    override suspend fun findTransaction(transactionId: String): TableResult<TransactionStatus> {
        countRead()
        return delegate.findTransaction(transactionId)
    }

    override suspend fun commit(transaction: TableTransaction): TableResult<CommitOutcome> {
        synchronized(this) {
            commits++
            rowsWritten += transaction.writes.size
        }
        return delegate.commit(transaction)
    }

    private suspend fun countRowsRead(call: suspend () -> TableResult<TableSnapshot>): TableResult<TableSnapshot> {
        countRead()
        val result = call()
        if (result is TableResult.Response) synchronized(this) { rowsRead += result.value.rows.size }
        return result
    }

    @Synchronized
    private fun countRead() {
        reads++
        readsBySecond.merge(clock.monotonicMs() / MS_PER_SECOND, 1, Int::plus)
    }

    private companion object {
        private const val MS_PER_SECOND = 1_000L
    }
}
