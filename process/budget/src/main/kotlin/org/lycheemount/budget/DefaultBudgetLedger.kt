package org.lycheemount.budget

import org.lycheemount.common.BudgetId
import org.lycheemount.common.Clock
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.RequestId
import org.lycheemount.common.RouterId
import java.util.concurrent.ConcurrentHashMap

/** Ledger over the grants of this router. Its parameters are monotonic times; bills carry the wall-clock time. */
internal class DefaultBudgetLedger(
    private val routerId: RouterId,
    private val accounts: BudgetAccounts,
    private val bills: BillQueue,
    private val clock: Clock,
    private val signals: WorkSignals,
    private val unavailableRetryMs: Long,
) : BudgetLedger {
    private val reservations = ConcurrentHashMap<RequestId, Reservation>()

    override fun reserve(
        requestId: RequestId,
        budgetId: BudgetId,
        tokens: Long,
        nowMs: Long,
    ): ReservationOutcome = reserveUpTo(requestId, budgetId, tokens, tokens, nowMs)

    override fun reserveUpTo(
        requestId: RequestId,
        budgetId: BudgetId,
        minimumTokens: Long,
        maximumTokens: Long,
        nowMs: Long,
    ): ReservationOutcome {
        require(minimumTokens in 0..maximumTokens) { "minimumTokens must be in 0..maximumTokens" }
        val account = accounts.getOrCreate(budgetId)
        synchronized(account) {
            check(!reservations.containsKey(requestId)) { "request ${requestId.value} has a reservation" }
            account.meter.recordReservation(maximumTokens, nowMs)
            val usable = account.usableTokens(nowMs)
            val grant = account.grant
            if (grant == null || usable < minimumTokens) return refuse(account, minimumTokens, nowMs)
            val tokens = reservationTokens(usable, minimumTokens, maximumTokens, account.meter.usageRatio)
            grant.reserve(tokens)
            reservations[requestId] = Reservation(account, grant, tokens, maximumTokens)
            signalIfLow(account, usable - tokens)
            return ReservationOutcome.Reserved(tokens)
        }
    }

    override fun extend(
        requestId: RequestId,
        additionalTokens: Long,
        nowMs: Long,
    ): ReservationOutcome {
        require(additionalTokens >= 0) { "additionalTokens must not be negative" }
        val reservation = reservations[requestId] ?: error("request ${requestId.value} has no reservation")
        synchronized(reservation.account) {
            check(reservation.bill == null) { "request ${requestId.value} is settled" }
            val grant = reservation.grant
            val usable = if (grant.closed) 0 else grant.usableTokens(nowMs)
            if (usable < additionalTokens) return refuse(reservation.account, additionalTokens, nowMs)
            grant.extend(additionalTokens)
            reservation.tokens += additionalTokens
            signalIfLow(reservation.account, usable - additionalTokens)
            return ReservationOutcome.Reserved(reservation.tokens)
        }
    }

    override fun settle(
        requestId: RequestId,
        charge: Charge,
        nowMs: Long,
    ): Bill {
        val reservation = reservations[requestId] ?: error("request ${requestId.value} has no reservation")
        val account = reservation.account
        synchronized(account) {
            reservation.bill?.let { return it }
            val charged = charge.totalTokens
            check(
                charged in 0..reservation.tokens,
            ) { "charge $charged of ${requestId.value} exceeds its reservation ${reservation.tokens}" }
            val bill = Bill(requestId, account.budgetId, routerId, charge, clock.wallClockMs())
            reservation.bill = bill
            reservation.grant.settle(reservation.tokens, charged)
            account.meter.recordUse(charged, reservation.worstCaseTokens)
            bills.add(UnwrittenBill(bill, reservation.grant, account, reservation))
            account.wakeWaiters(nowMs)
            signals.signalReplication()
            return bill
        }
    }

    override fun release(
        requestId: RequestId,
        nowMs: Long,
    ) {
        val reservation = reservations[requestId] ?: return
        synchronized(reservation.account) {
            if (reservation.bill != null || !reservations.remove(requestId, reservation)) return
            reservation.grant.release(reservation.tokens)
            reservation.account.wakeWaiters(nowMs)
        }
    }

    /** Removes settled reservations whose bills were written and whose retention has ended. */
    fun evictWritten(nowMs: Long) {
        reservations.values.removeIf { it.evictAtMs <= nowMs }
    }

    fun openReservationCount(): Int = reservations.values.count { it.bill == null }

    private fun signalIfLow(
        account: BudgetAccount,
        usableAfter: Long,
    ) {
        if (usableAfter >= LOW_WATER_RESERVATIONS * account.meter.largestReservationTokens) return
        account.needsAttention = true
        signals.signalTableWork()
    }

    private fun refuse(
        account: BudgetAccount,
        tokens: Long,
        nowMs: Long,
    ): ReservationOutcome {
        account.recordUnmetDemand(tokens, nowMs)
        signals.signalTableWork()
        signals.signalPeerRequest()
        return ReservationOutcome.Refused(refusalFor(account, tokens, nowMs, unavailableRetryMs))
    }

    private companion object {
        private const val LOW_WATER_RESERVATIONS = 4
    }
}

/** Refusal as exhausted if a recent balance shows that the whole budget does not cover [tokens]; otherwise as unavailable. */
internal fun refusalFor(
    account: BudgetAccount,
    tokens: Long,
    nowMs: Long,
    unavailableRetryMs: Long,
): Refusal {
    val budget = account.budgetId.value
    if (account.isKnownExhausted(tokens, nowMs)) {
        val remaining = account.balance?.remainingTokens
        return Refusal(RefusalReason.BUDGET_EXHAUSTED, "budget $budget has $remaining tokens left, but $tokens are needed")
    }
    return Refusal(RefusalReason.BUDGET_UNAVAILABLE, unavailableDetail(account, tokens, nowMs), unavailableRetryMs)
}

private fun unavailableDetail(
    account: BudgetAccount,
    tokens: Long,
    nowMs: Long,
): String {
    val grant = account.grant
    val usable = account.usableTokens(nowMs)
    val free = grant?.freeTokens ?: 0
    val unallocated = account.budgetRow?.unallocatedTokens
    val rowWriteAgeMs = grant?.row?.let { nowMs - grant.rowWrittenAtMs }
    return "budget ${account.budgetId.value}: $tokens tokens needed, but this router may use only $usable of its $free free tokens; " +
        "grant row written $rowWriteAgeMs ms ago; $unallocated tokens unallocated"
}
