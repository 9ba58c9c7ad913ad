package org.lycheemount.budget

import org.lycheemount.common.BudgetId

/**
 * In-memory state of a grant at its holder. Guarded by the monitor of its [BudgetAccount].
 *
 * While a write is unconfirmed, the table may hold either the old or the new row. The use of the grant stays within the ceilings of
 * both rows. Tokens received from peers after a row was written are not part of what its ceiling bounds: their sender has counted
 * them as used.
 */
internal class Grant(
    val budgetId: BudgetId,
    val grantId: String,
) {
    var row: GrantRow? = null
        private set
    var rowVersion = 0L
        private set
    var spentTokens = 0L
        private set
    var reservedTokens = 0L
        private set
    var sentTokens = 0L
        private set
    var receivedTokens = 0L
        private set

    /** Tokens that a pending transaction returns to the budget. */
    private var pendingReturnTokens = 0L

    /** Null without a row: the tokens then came from peers, and no other router can reclaim them. */
    private var confirmedBound: SpendBound? = null
    private var pending: PendingRow? = null

    /** Monotonic time of the last confirmed write of the row. */
    var rowWrittenAtMs = Long.MIN_VALUE / 2
        private set

    /** Number of bills of this grant that are not yet in the table. */
    var unwrittenBills = 0

    /** Counted separately from their tokens, because a reservation of 0 tokens still results in a bill. */
    private var openReservations = 0

    /** True while an open reservation or an unwritten bill refers to this grant. */
    val inUse: Boolean get() = openReservations > 0 || unwrittenBills > 0

    val closed: Boolean get() = row?.closed == true
    val hasPendingRow: Boolean get() = pending != null
    val usedTokens: Long get() = spentTokens + reservedTokens + sentTokens
    val capacityTokens: Long get() = (row?.grantedTokens ?: 0) + receivedTokens - pendingReturnTokens
    val freeTokens: Long get() = if (closed) 0 else capacityTokens - usedTokens

    /** Tokens that may be reserved or sent at [nowMs]. */
    fun usableTokens(nowMs: Long): Long {
        val boundTokens = listOfNotNull(confirmedBound, pending?.bound).minOfOrNull { it.tokensAt(nowMs, receivedTokens) }
        return minOf(freeTokens, (boundTokens ?: Long.MAX_VALUE) - usedTokens).coerceAtLeast(0)
    }

    fun reserve(tokens: Long) {
        reservedTokens += tokens
        openReservations++
    }

    fun extend(tokens: Long) {
        reservedTokens += tokens
    }

    fun release(tokens: Long) {
        reservedTokens -= tokens
        openReservations--
        check(reservedTokens >= 0) { "reserved tokens of grant $grantId are negative" }
    }

    fun settle(
        reserved: Long,
        charged: Long,
    ) {
        release(reserved)
        spentTokens += charged
        unwrittenBills++
    }

    /** Reverses the charge of a request that another router has billed. */
    fun reverseCharge(tokens: Long) {
        spentTokens -= tokens
    }

    fun send(tokens: Long) {
        sentTokens += tokens
    }

    /** Restores [tokens] of a transfer that the receiver has definitely refused. */
    fun cancelSend(tokens: Long) {
        sentTokens -= tokens
    }

    fun receive(tokens: Long) {
        receivedTokens += tokens
    }

    /**
     * Starts a write of the row. Until [confirm] or [clearPendingRow], both the old and the new row bound the use of the grant.
     *
     * @param contactAtMs monotonic time of the contact recorded in [proposed].
     * @param outageGraceMs time after that contact from which the late growth of the ceiling applies.
     */
    fun propose(
        proposed: GrantRow,
        contactAtMs: Long,
        outageGraceMs: Long,
    ) {
        check(pending == null) { "grant $grantId has a pending row" }
        check(proposed.ceilingTokens >= usedTokens) { "ceiling of grant $grantId is below its use" }
        pending = PendingRow(proposed, SpendBound(proposed, contactAtMs, outageGraceMs))
        pendingReturnTokens = ((row?.grantedTokens ?: 0) - proposed.grantedTokens).coerceAtLeast(0)
    }

    /** Confirms that the table holds the pending row, with [version]. */
    fun confirm(
        version: Long,
        nowMs: Long,
    ) {
        val written = checkNotNull(pending) { "grant $grantId has no pending row" }
        row = written.row
        rowVersion = version
        confirmedBound = written.bound
        rowWrittenAtMs = nowMs
        clearPendingRow()
    }

    /** Discards the pending row; only called when it cannot take effect, or after it was confirmed. */
    fun clearPendingRow() {
        pending = null
        pendingReturnTokens = 0
    }

    /** Adopts [current] as written by another router, which settled bills of the grant or closed it. */
    fun adopt(
        current: GrantRow,
        version: Long,
    ) {
        row = current
        rowVersion = version
    }

    /** Closed row that charges what this grant has spent; null without a row. */
    fun returnedRow(): GrantRow? =
        row?.copy(sentTokens = sentTokens, receivedTokens = receivedTokens, closed = true, chargedTokens = spentTokens)

    fun owns(transactionId: String): Boolean = pending?.row?.holderTransactionId == transactionId

    private class PendingRow(
        val row: GrantRow,
        val bound: SpendBound,
    )

    private class SpendBound(
        private val row: GrantRow,
        private val contactAtMs: Long,
        private val outageGraceMs: Long,
    ) {
        /** Upper bound on the use at [nowMs] of a grant that has received [receivedTokens]. */
        fun tokensAt(
            nowMs: Long,
            receivedTokens: Long,
        ): Long {
            val ceilingTokens = row.ceilingAfterTokens(nowMs - contactAtMs, outageGraceMs) ?: return Long.MAX_VALUE
            return ceilingTokens + receivedTokens - row.receivedTokens
        }
    }
}
