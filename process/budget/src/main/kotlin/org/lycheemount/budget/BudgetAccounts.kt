package org.lycheemount.budget

import org.lycheemount.common.BudgetId
import java.util.concurrent.ConcurrentHashMap

/** The accounts of this router, by budget. */
internal class BudgetAccounts {
    private val accounts = ConcurrentHashMap<BudgetId, BudgetAccount>()

    fun getOrCreate(budgetId: BudgetId): BudgetAccount = accounts.computeIfAbsent(budgetId) { BudgetAccount(it) }

    fun find(budgetId: BudgetId): BudgetAccount? = accounts[budgetId]

    /** All accounts in a fixed order, so that a run with the same seed repeats exactly. */
    fun all(): List<BudgetAccount> = accounts.values.sortedBy { it.budgetId.value }
}
