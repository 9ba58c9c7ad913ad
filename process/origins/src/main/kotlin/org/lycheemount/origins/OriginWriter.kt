package org.lycheemount.origins

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.common.Clock
import org.lycheemount.platform.CommitOutcome
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableTransaction

/** Writes the origins of streams in batches, at the interval that [state] gives, and deletes the rows that are of no more use. */
internal class OriginWriter(
    private val table: TableService,
    private val state: OriginState,
    private val clock: Clock,
) {
    private var written = 0L

    /** Number of origins written so far. */
    val writtenCount: Long get() = state.withBook { written }

    /** Writes until it is cancelled. */
    suspend fun run() {
        state.awaitFirstRead()
        while (true) {
            val startedAtMs = clock.monotonicMs()
            val untilNextMs = if (writeBatch()) untilNextBatchMs() else state.retryDelayMs()
            if (untilNextMs == null) {
                state.newOrigins.receive()
            } else {
                withTimeoutOrNull(untilNextMs) { state.newOrigins.receive() }
            }
            delay(startedAtMs + state.writeIntervalMs() - clock.monotonicMs())
        }
    }

    private fun untilNextBatchMs(): Long? =
        state.withBook { book ->
            val nowMs = clock.monotonicMs()
            if (book.journal.waitingCount > 0) return 0
            book.journal.deletionDueAtTableTimeMs?.let { it - (book.tableTimeMs(nowMs) ?: it) }
        }

    /** Writes what is due. Returns false if the table did not respond. */
    private suspend fun writeBatch(): Boolean {
        val nowMs = clock.monotonicMs()
        val batch = state.withBook { book -> book.tableTimeMs(nowMs)?.let { book.journal.nextBatch(it, nowMs) } } ?: return true
        val transaction = TableTransaction(state.nextTransactionId(), emptyList(), batch.writes)
        return when (val result = table.commit(transaction)) {
            is TableResult.Response -> {
                onResponse(batch, result.value)
                true
            }
            is TableResult.Unavailable -> {
                onFailed(batch, result.detail, mayTakeEffect = false)
                false
            }
            is TableResult.Unknown -> {
                onFailed(batch, result.detail, mayTakeEffect = true)
                false
            }
        }
    }

    private fun onResponse(
        batch: OriginBatch,
        outcome: CommitOutcome,
    ) = state.withBook { book ->
        (outcome as? CommitOutcome.Committed)?.let { state.onResponse(it.tableTimeMs) }
        book.journal.onCommitted(batch)
        written += batch.origins.size
    }

    private fun onFailed(
        batch: OriginBatch,
        detail: String,
        mayTakeEffect: Boolean,
    ) {
        state.withBook { it.journal.onFailed(batch, mayTakeEffect) }
        state.onCallFailed("streams", detail)
    }
}
