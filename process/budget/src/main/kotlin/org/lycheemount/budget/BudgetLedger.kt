package org.lycheemount.budget

import org.lycheemount.common.BudgetId
import org.lycheemount.common.RequestId

/**
 * Reserves and settles tokens from the grants that this router holds in memory. Calls neither suspend nor use the network.
 * Thread-safe.
 */
interface BudgetLedger {
    /** Reserves [tokens] for [requestId], which must not have a reservation yet. */
    fun reserve(
        requestId: RequestId,
        budgetId: BudgetId,
        tokens: Long,
        nowMs: Long,
    ): ReservationOutcome

    /**
     * Reserves between [minimumTokens] and [maximumTokens], the worst case, for [requestId]. The worst case is reserved while tokens
     * are plentiful, a smaller first step otherwise. The request must extend its reservation before it uses more than was reserved.
     */
    fun reserveUpTo(
        requestId: RequestId,
        budgetId: BudgetId,
        minimumTokens: Long,
        maximumTokens: Long,
        nowMs: Long,
    ): ReservationOutcome = reserve(requestId, budgetId, maximumTokens, nowMs)

    /** Adds [additionalTokens] to the reservation of [requestId]; a refusal leaves the reservation unchanged. */
    fun extend(
        requestId: RequestId,
        additionalTokens: Long,
        nowMs: Long,
    ): ReservationOutcome

    /**
     * Charges [requestId] with its actual [charge], releases the rest of its reservation and queues one bill.
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
