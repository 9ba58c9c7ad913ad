package org.lycheemount.budget

import org.lycheemount.common.BudgetId

/** Lets a request that was refused as `budget_unavailable` wait for tokens from the table or from peers. */
interface BudgetReplenisher {
    /**
     * Asks for [tokens] at once and waits for at most [timeoutMs]. True means that a reservation of that size is likely to succeed
     * now; it is not set aside. False after the timeout, and without a wait when the budget is known to be exhausted.
     */
    suspend fun awaitTokens(
        budgetId: BudgetId,
        tokens: Long,
        timeoutMs: Long,
    ): Boolean

    /** Takes first grants for [budgetIds] ahead of their first request. */
    fun prefetchGrants(budgetIds: Set<BudgetId>)
}
