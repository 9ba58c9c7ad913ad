package org.lycheemount.budget

import org.lycheemount.common.BudgetId
import org.lycheemount.common.RequestId

/**
 * Spends from the grants that this router holds in memory. No call suspends or talks to another process.
 * Safe to call from any thread.
 */
interface BudgetLedger {
    /** Sets [tokens] aside for [requestId], which has no reservation yet. */
    fun reserve(
        requestId: RequestId,
        budgetId: BudgetId,
        tokens: Long,
        nowMs: Long,
    ): ReservationOutcome

    /**
     * Sets aside between [minimumTokens] and [maximumTokens], the worst case, for [requestId]: the worst case while tokens are
     * plentiful, a first step when they run short. The request must not use more than the reserved tokens before it has extended
     * its reservation.
     */
    fun reserveUpTo(
        requestId: RequestId,
        budgetId: BudgetId,
        minimumTokens: Long,
        maximumTokens: Long,
        nowMs: Long,
    ): ReservationOutcome = reserve(requestId, budgetId, maximumTokens, nowMs)

    /** Adds [additionalTokens] to the reservation of [requestId]; a refusal leaves the reservation as it was. */
    fun extend(
        requestId: RequestId,
        additionalTokens: Long,
        nowMs: Long,
    ): ReservationOutcome

    /**
     * Charges the actual [charge] of [requestId], releases the rest of its reservation and queues one bill.
     * The charge must not exceed the reservation. A second call for the same request returns the first bill.
     */
    fun settle(
        requestId: RequestId,
        charge: Charge,
        nowMs: Long,
    ): Bill

    /** Releases the whole reservation of a request that did not run. Unknown requests are ignored. */
    fun release(
        requestId: RequestId,
        nowMs: Long,
    )
}
