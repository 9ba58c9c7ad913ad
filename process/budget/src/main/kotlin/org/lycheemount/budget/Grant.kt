package org.lycheemount.budget

import org.lycheemount.common.BudgetId

/**
 * One grant in the memory of its holder. Guarded by the monitor of its [BudgetAccount].
 *
 * A row that was written but not confirmed may be in force as well as the confirmed one. The use of the grant stays within the
 * ceiling of each row that may be in force, until the outage grace after the contact named in that row has passed.
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

    /** Tokens that a pending transaction gives back to the budget. */
    private var pendingReturnTokens = 0L

    /** Without a row the table can give none of the tokens to another router, so nothing bounds their use. */
    private var confirmedBound: SpendBound? = null
    private var pending: PendingRow? = null

    /** Monotonic time of the last confirmed write of the row. */
    var rowWrittenAtMs = Long.MIN_VALUE / 2
        private set

    /** Bills of this grant that are not in the table yet. */
    var unwrittenBills = 0

    /** Counted beside their tokens, because a reservation may be of 0 tokens and still gets a bill. */
    private var openReservations = 0

    /** True while a request or a bill refers to this grant. */
    val inUse: Boolean get() = openReservations > 0 || unwrittenBills > 0

    val closed: Boolean get() = row?.closed == true
    val hasPendingRow: Boolean get() = pending != null
    val usedTokens: Long get() = spentTokens + reservedTokens + sentTokens
    val capacityTokens: Long get() = (row?.grantedTokens ?: 0) + receivedTokens - pendingReturnTokens
    val freeTokens: Long get() = if (closed) 0 else capacityTokens - usedTokens

    /** Tokens that may be reserved or sent at [nowMs]. */
    fun usableTokens(nowMs: Long): Long {
        val bound = minOf(confirmedBound?.at(nowMs) ?: Long.MAX_VALUE, pending?.bound?.at(nowMs) ?: Long.MAX_VALUE)
        return minOf(freeTokens, bound - usedTokens).coerceAtLeast(0)
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
        check(reservedTokens >= 0) { "negative reservations in grant $grantId" }
    }

    fun settle(
        reserved: Long,
        charged: Long,
    ) {
        release(reserved)
        spentTokens += charged
        unwrittenBills++
    }

    /** Takes back the charge of a request that another router has billed. */
    fun reverseCharge(tokens: Long) {
        spentTokens -= tokens
    }

    fun send(tokens: Long) {
        sentTokens += tokens
    }

    /** Takes back [tokens] that the receiver certainly refused. */
    fun cancelSend(tokens: Long) {
        sentTokens -= tokens
    }

    fun receive(tokens: Long) {
        receivedTokens += tokens
    }

    /**
     * Starts a write of the row; until [confirm] or [clearPendingRow] both rows bound the use of the grant.
     *
     * @param contactAtMs monotonic time of the contact that [proposed] names.
     * @param outageGraceMs time after that contact from which the row no longer bounds the use.
     */
    fun propose(
        proposed: GrantRow,
        contactAtMs: Long,
        outageGraceMs: Long,
    ) {
        check(pending == null) { "grant $grantId has a pending row" }
        check(proposed.ceilingTokens >= usedTokens) { "ceiling of grant $grantId is below its use" }
        pending = PendingRow(proposed, SpendBound(proposed, contactAtMs, contactAtMs + outageGraceMs))
        pendingReturnTokens = ((row?.grantedTokens ?: 0) - proposed.grantedTokens).coerceAtLeast(0)
    }

    /** The pending row is in force under [version]. */
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

    /** The pending row certainly did not and will not take effect. */
    fun clearPendingRow() {
        pending = null
        pendingReturnTokens = 0
    }

    /** Takes over [current], which another router wrote: settled bills, or the closing of the grant. */
    fun adopt(
        current: GrantRow,
        version: Long,
    ) {
        row = current
        rowVersion = version
    }

    fun owns(transactionId: String): Boolean = pending?.row?.holderTransactionId == transactionId

    private class PendingRow(
        val row: GrantRow,
        val bound: SpendBound,
    )

    private class SpendBound(
        private val row: GrantRow,
        private val contactAtMs: Long,
        private val boundEndsAtMs: Long,
    ) {
        fun at(nowMs: Long): Long = if (nowMs >= boundEndsAtMs) Long.MAX_VALUE else row.ceilingAfterTokens(nowMs - contactAtMs)
    }
}
