package org.lycheemount.budget

import org.lycheemount.common.BudgetId
import java.util.concurrent.ConcurrentHashMap

/** The accounts of this router, by budget. Thread-safe. */
internal class BudgetAccounts(
    private val rateWindowMs: Long,
) {
    private val accounts = ConcurrentHashMap<BudgetId, BudgetAccount>()

    @Volatile
    private var sortedAccounts = emptyList<BudgetAccount>()

    fun getOrCreate(budgetId: BudgetId): BudgetAccount = accounts.computeIfAbsent(budgetId) { BudgetAccount(it, SpendMeter(rateWindowMs)) }

    fun find(budgetId: BudgetId): BudgetAccount? = accounts[budgetId]

    /** All accounts in a deterministic order, so that tests with the same seed are reproducible. */
    fun all(): List<BudgetAccount> {
        if (sortedAccounts.size != accounts.size) sortedAccounts = accounts.values.sortedBy { it.budgetId.value }
        return sortedAccounts
    }

    /** Accounts that refused a request or ran low on tokens since their last refill. */
    fun needingAttention(): List<BudgetAccount> = all().filter { it.needsAttention }
}
