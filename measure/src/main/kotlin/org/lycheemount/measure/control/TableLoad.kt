package org.lycheemount.measure.control

import org.lycheemount.common.Clock
import org.lycheemount.platform.CommitOutcome
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableSnapshot
import org.lycheemount.platform.TableTransaction
import org.lycheemount.platform.TransactionStatus

/** Counts the calls that reach [table], in all and by second. */
internal class TableLoad(
    private val table: TableService,
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

    /** Returns the greatest number of reads and scans within one second since [fromMs]. */
    fun greatestReadsPerSecond(fromMs: Long): Int = readsBySecond.filterKeys { it >= fromMs / MS_PER_SECOND }.values.maxOrNull() ?: 0

    override suspend fun read(keys: List<String>): TableResult<TableSnapshot> = counted { table.read(keys) }

    override suspend fun scan(
        prefix: String,
        afterKey: String?,
        limit: Int,
    ): TableResult<TableSnapshot> = counted { table.scan(prefix, afterKey, limit) }

    override suspend fun findTransaction(transactionId: String): TableResult<TransactionStatus> {
        countRead()
        return table.findTransaction(transactionId)
    }

    override suspend fun commit(transaction: TableTransaction): TableResult<CommitOutcome> {
        synchronized(this) {
            commits++
            rowsWritten += transaction.writes.size
        }
        return table.commit(transaction)
    }

    private suspend fun counted(call: suspend () -> TableResult<TableSnapshot>): TableResult<TableSnapshot> {
        countRead()
        val result = call()
        if (result is TableResult.Answered) synchronized(this) { rowsRead += result.value.rows.size }
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
