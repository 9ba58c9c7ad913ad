package org.lycheemount.budget

import org.lycheemount.common.BudgetId

/** Sets the limits of budgets where a configuration states totals instead of top-ups. Safe to call from any coroutine of any router. */
interface BudgetLimitWriter {
    /**
     * Sets the limits of budgets to the totals of the configuration change [sequence]; creates budgets that do not exist. A budget
     * whose limit was set by a later change keeps it. A total below what was granted already takes effect as grants return.
     */
    suspend fun setLimits(
        limits: Map<BudgetId, Long>,
        sequence: Long,
    ): BudgetChange
}
