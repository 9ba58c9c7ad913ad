package org.lycheemount.budget

import org.lycheemount.common.BudgetId

/** Sets limits of budgets whose configuration states totals instead of top-ups. Safe to call from any coroutine on any router. */
interface BudgetLimitWriter {
    /**
     * Sets limits to the totals, in tokens, of the configuration change [sequence], and creates budgets that do not exist. A limit
     * set by a later change is kept. A total below the granted tokens takes effect as grants are returned.
     */
    suspend fun setLimits(
        limits: Map<BudgetId, Long>,
        sequence: Long,
    ): BudgetChange
}
