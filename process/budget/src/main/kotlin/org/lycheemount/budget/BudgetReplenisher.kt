package org.lycheemount.budget

import org.lycheemount.common.BudgetId

/** Obtains tokens from the table or from peers for requests that were refused as `budget_unavailable`. */
interface BudgetReplenisher {
    /**
     * Requests [tokens] and waits for up to [timeoutMs]. Returns true when a reservation of that size is likely to succeed now; the
     * tokens are not reserved. Returns false after the timeout, and at once when the budget is known to be exhausted.
     */
    suspend fun awaitTokens(
        budgetId: BudgetId,
        tokens: Long,
        timeoutMs: Long,
    ): Boolean

    /** Requests initial grants for [budgetIds] ahead of their first request. */
    fun prefetchGrants(budgetIds: Set<BudgetId>)
}
