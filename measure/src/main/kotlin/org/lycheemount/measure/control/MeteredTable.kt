package org.lycheemount.measure.control

import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.lycheemount.common.Clock
import org.lycheemount.platform.CommitOutcome
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableSnapshot
import org.lycheemount.platform.TableTransaction
import org.lycheemount.platform.TransactionStatus

/** Counts the calls that reach the shared table, by second, and admits one at a time. */
internal class MeteredTable(
    private val table: TableService,
    private val clock: Clock,
) : TableService {
    private val lock = Mutex()
    private val readsBySecond = mutableMapOf<Long, Int>()
    private var commits = 0

    val commitCount: Int get() = commits

    /** Greatest number of reads in one second since [fromMs]. */
    fun peakReadsPerSecond(fromMs: Long): Int = readsBySecond.filterKeys { it >= fromMs / MS_PER_SECOND }.values.maxOrNull() ?: 0

    /** Reads since [fromMs]. */
    fun reads(fromMs: Long): Int = readsBySecond.filterKeys { it >= fromMs / MS_PER_SECOND }.values.sum()

    override suspend fun read(keys: List<String>): TableResult<TableSnapshot> = counted { table.read(keys) }

    override suspend fun scan(
        prefix: String,
        afterKey: String?,
        limit: Int,
    ): TableResult<TableSnapshot> = counted { table.scan(prefix, afterKey, limit) }

    override suspend fun findTransaction(transactionId: String): TableResult<TransactionStatus> =
        counted { table.findTransaction(transactionId) }

    override suspend fun commit(transaction: TableTransaction): TableResult<CommitOutcome> =
        lock.withLock {
            commits++
            table.commit(transaction)
        }

    private suspend fun <T> counted(call: suspend () -> T): T =
        lock.withLock {
            readsBySecond.merge(clock.monotonicMs() / MS_PER_SECOND, 1, Int::plus)
            call()
        }

    private companion object {
        private const val MS_PER_SECOND = 1_000L
    }
}
