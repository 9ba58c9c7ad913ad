package org.lycheemount.budget

import org.lycheemount.common.EventLog

/** Logs how many transactions of this router were committed or conflicted, and how long the table took, in one line per interval. */
internal class TransactionStatistics(
    private val log: EventLog,
) {
    private var intervalEndsAtMs = Long.MIN_VALUE
    private val counts = IntArray(WriteAttemptResult.entries.size)
    private var totalMs = 0L
    private var maxMs = 0L

    /** Records a transaction that was sent at [sentAtMs] and ended with [result] at [nowMs]. */
    fun record(
        result: WriteAttemptResult,
        sentAtMs: Long,
        nowMs: Long,
    ) {
        if (nowMs >= intervalEndsAtMs) {
            if (counts.any { it > 0 }) logInterval()
            intervalEndsAtMs = nowMs + INTERVAL_MS
        }
        counts[result.ordinal]++
        totalMs += nowMs - sentAtMs
        maxMs = maxOf(maxMs, nowMs - sentAtMs)
    }

    private fun logInterval() {
        log.info(
            "table_transactions",
            "committed" to counts[WriteAttemptResult.COMMITTED.ordinal],
            "conflicts" to counts[WriteAttemptResult.CONFLICT.ordinal],
            "noResponse" to counts[WriteAttemptResult.NO_RESPONSE.ordinal],
            "meanMs" to totalMs / counts.sum(),
            "maxMs" to maxMs,
        )
        counts.fill(0)
        totalMs = 0
        maxMs = 0
    }

    private companion object {
        private const val INTERVAL_MS = 5_000L
    }
}
