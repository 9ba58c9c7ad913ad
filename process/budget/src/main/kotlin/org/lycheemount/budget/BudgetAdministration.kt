package org.lycheemount.budget

import org.lycheemount.common.BudgetId
import org.lycheemount.common.RouterId

/** Operations on budgets for the administration API. Safe to call from any coroutine of any router. */
interface BudgetAdministration {
    /** Creates an empty budget; repeated calls change nothing. */
    suspend fun create(budgetId: BudgetId): BudgetChange

    /** Adds [tokens], from 1 to 10^15, to the limit. A repeated call with the same [topUpId] changes nothing. */
    suspend fun topUp(
        budgetId: BudgetId,
        topUpId: String,
        tokens: Long,
    ): BudgetChange

    /**
     * Closes the grant [grantId] and charges all that it holds to the budget, so that nothing of it is expected back.
     * Nothing is given to another router, so the limit holds even if the holder still runs. A repeated call changes nothing.
     */
    suspend fun writeOff(
        budgetId: BudgetId,
        grantId: String,
    ): BudgetChange

    /** Reads the totals of a budget and who holds its tokens. */
    suspend fun status(budgetId: BudgetId): BudgetStatusResult

    /** Reads up to [limit] bills of a budget in the order of their request ids, after [afterRequestId]. */
    suspend fun bills(
        budgetId: BudgetId,
        afterRequestId: String? = null,
        limit: Int = DEFAULT_BILLS,
    ): BillsResult

    /** Defaults of the interface. */
    companion object {
        /** Bills returned unless the caller asks for another number. */
        const val DEFAULT_BILLS: Int = 100

        /** Greatest top-up. */
        const val MAX_TOP_UP_TOKENS: Long = 1_000_000_000_000_000
    }
}

/** Outcome of a change to a budget. */
sealed interface BudgetChange {
    /** The budget has [limitTokens] now; [repeated] when an earlier call had made the change. */
    data class Applied(
        val limitTokens: Long,
        val repeated: Boolean,
    ) : BudgetChange

    /** A field is out of range; nothing changed. */
    data class Invalid(
        val field: String,
        val acceptedRange: String,
    ) : BudgetChange

    /** There is no such budget or grant. */
    data object NotFound : BudgetChange

    /** The top-up id was used before with [earlierTokens]; nothing changed. */
    data class IdReused(
        val earlierTokens: Long,
    ) : BudgetChange

    /** Nothing changed; a retry may succeed. */
    data class Unavailable(
        val detail: String,
    ) : BudgetChange

    /** The change may have been made; a retry with the same id tells. */
    data class Unknown(
        val detail: String,
    ) : BudgetChange
}

/** Totals of a budget. `limitTokens = unallocatedTokens + closedTokens + transferTokens +` granted tokens of all holders. */
data class BudgetStatus(
    val budgetId: BudgetId,
    val limitTokens: Long,
    val unallocatedTokens: Long,
    val grantedTokens: Long,
    val settledTokens: Long,
    val closedTokens: Long,
    val transferTokens: Long,
    val holders: List<GrantStatus>,
    val asOfTableTimeMs: Long,
)

/**
 * A grant.
 *
 * @property ceilingTokens bound that the holder keeps to while it reaches the table.
 * @property reclaimed true for a grant that was closed after its holder's VM was gone.
 * @property chargedTokens tokens that stay charged for a reclaimed grant; 0 otherwise.
 */
data class GrantStatus(
    val routerId: RouterId,
    val grantId: String,
    val grantedTokens: Long,
    val settledTokens: Long,
    val sentTokens: Long,
    val receivedTokens: Long,
    val ceilingTokens: Long,
    val lastAckedTableTimeMs: Long,
    val reclaimed: Boolean,
    val chargedTokens: Long,
)

/** Result of [BudgetAdministration.status]. */
sealed interface BudgetStatusResult {
    /** The budget as the table has it. */
    data class Found(
        val status: BudgetStatus,
    ) : BudgetStatusResult

    /** There is no such budget or grant. */
    data object NotFound : BudgetStatusResult

    /** The table gave no answer. */
    data class Unavailable(
        val detail: String,
    ) : BudgetStatusResult
}

/** Result of [BudgetAdministration.bills]. */
sealed interface BillsResult {
    /** A page of bills; [more] when others follow. */
    data class Page(
        val bills: List<Bill>,
        val more: Boolean,
    ) : BillsResult

    /** The table gave no answer. */
    data class Unavailable(
        val detail: String,
    ) : BillsResult
}
