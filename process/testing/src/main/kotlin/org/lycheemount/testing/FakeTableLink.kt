package org.lycheemount.testing

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.launch
import org.lycheemount.platform.CommitOutcome
import org.lycheemount.platform.StoreEra
import org.lycheemount.platform.StoreEras
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableSnapshot
import org.lycheemount.platform.TableTransaction
import org.lycheemount.platform.TransactionStatus
import kotlin.random.Random

/**
 * One router's connection to a shared table, with injected network faults.
 *
 * @param scope runs commits that take effect after their caller has timed out.
 * @param latencyMs one-way delay.
 */
class FakeTableLink(
    private val table: TableService,
    private val scope: CoroutineScope,
    private val latencyMs: Long = 2,
    private val random: Random = Random(1),
    private val eraOfTable: () -> StoreEra? = { null },
) : TableService,
    StoreEras {
    private val latestEra = MutableStateFlow<StoreEra?>(null)

    override val current: StateFlow<StoreEra?> = latestEra.asStateFlow()

    /** Number of calls, with or without a response. */
    var callCount: Int = 0
        private set

    /** While true, no call reaches the table. */
    var isPartitioned: Boolean = false

    /** Share of commits that take effect but whose response is dropped, from 0 to 1. */
    var droppedResponseShare: Double = 0.0

    /** Share of commits that take effect only after their caller has timed out, from 0 to 1. */
    var lateCommitShare: Double = 0.0

    override suspend fun read(keys: List<String>): TableResult<TableSnapshot> = exchange { table.read(keys) }

    override suspend fun scan(
        prefix: String,
        afterKey: String?,
        limit: Int,
    ): TableResult<TableSnapshot> = exchange { table.scan(prefix, afterKey, limit) }

    override suspend fun findTransaction(transactionId: String): TableResult<TransactionStatus> =
        exchange { table.findTransaction(transactionId) }

    override suspend fun commit(transaction: TableTransaction): TableResult<CommitOutcome> {
        callCount++
        if (isPartitioned) return TableResult.Unavailable("connection to the table is partitioned")
        if (random.nextDouble() < lateCommitShare) {
            scope.launch {
                delay(LATE_COMMIT_MS)
                table.commit(transaction)
            }
            return TableResult.Unknown("no response within the timeout")
        }
        delay(latencyMs)
        val result = table.commit(transaction)
        val era = eraOfTable()
        delay(latencyMs)
        val isDropped = isPartitioned || random.nextDouble() < droppedResponseShare
        if (isDropped && result is TableResult.Response) return TableResult.Unknown("response dropped")
        if (result is TableResult.Response) latestEra.value = era
        return result
    }

    private suspend fun <T> exchange(call: suspend () -> TableResult<T>): TableResult<T> {
        callCount++
        if (isPartitioned) return TableResult.Unavailable("connection to the table is partitioned")
        delay(latencyMs)
        val result = call()
        val era = eraOfTable()
        delay(latencyMs)
        if (isPartitioned) return TableResult.Unavailable("connection to the table is partitioned")
        if (result is TableResult.Response) latestEra.value = era
        return result
    }

    private companion object {
        private const val LATE_COMMIT_MS = 3_000L
    }
}
