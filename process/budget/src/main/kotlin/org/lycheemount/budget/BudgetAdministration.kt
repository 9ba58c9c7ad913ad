package org.lycheemount.budget

import org.lycheemount.common.BudgetId
import org.lycheemount.common.RouterId

/** Operations on budgets for the administration API. Safe to call from any coroutine on any router. */
interface BudgetAdministration {
    /** Creates an empty budget. Idempotent. */
    suspend fun create(budgetId: BudgetId): BudgetChange

    /** Adds [tokens], from 1 to 10^15, to the limit. A repeated call with the same [topUpId] changes nothing. */
    suspend fun topUp(
        budgetId: BudgetId,
        topUpId: String,
        tokens: Long,
    ): BudgetChange

    /**
     * Closes the grant [grantId] and charges all of its tokens to the budget. None of them becomes available to another router,
     * so the limit holds even if the holder is still running. Idempotent.
     */
    suspend fun writeOff(
        budgetId: BudgetId,
        grantId: String,
    ): BudgetChange

    /** Reads the totals of a budget and all of its grants. */
    suspend fun status(budgetId: BudgetId): BudgetStatusResult

    /** Reads up to [limit] bills of a budget, ordered by request id and starting after [afterRequestId]. */
    suspend fun bills(
        budgetId: BudgetId,
        afterRequestId: String? = null,
        limit: Int = DEFAULT_BILLS,
    ): BillsResult

    /** Defaults of the interface. */
    companion object {
        /** Default page size of [bills]. */
        const val DEFAULT_BILLS: Int = 100

        /** Largest top-up in tokens. */
        const val MAX_TOP_UP_TOKENS: Long = 1_000_000_000_000_000
    }
}

/** Outcome of a change to a budget. */
sealed interface BudgetChange {
    /** The change is in effect and the limit is [limitTokens]; [repeated] is true when an earlier call had made it. */
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

    /** The top-up id was used before for [earlierTokens] tokens; nothing changed. */
    data class IdReused(
        val earlierTokens: Long,
    ) : BudgetChange

    /** Nothing changed; a retry may succeed. */
    data class Unavailable(
        val detail: String,
    ) : BudgetChange

    /** The change may have been made; a retry with the same id returns its outcome. */
    data class Unknown(
        val detail: String,
    ) : BudgetChange
}

/**
 * Totals of a budget: `limitTokens = unallocatedTokens + closedTokens + transferTokens + grantedTokens`.
 *
 * @property grantedTokens tokens of all open grants.
 * @property settledTokens tokens charged to closed grants, and billed tokens of open ones.
 * @property closedTokens tokens charged to grants that are closed.
 * @property transferTokens tokens that closed grants sent to peers, minus those that they received.
 * @property holders open and reclaimed grants.
 * @property asOfTableTimeMs time of the read, by the table's clock.
 */
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
 * State of one grant, as stored in its row of the table.
 *
 * @property settledTokens tokens of the bills that are in the table.
 * @property sentTokens tokens transferred to peers.
 * @property receivedTokens tokens received from peers.
 * @property ceilingTokens upper bound on the holder's use while it reaches the table.
 * @property lastAckedTableTimeMs table time of the last response that the holder had received when it wrote the row.
 * @property reclaimed true for a grant that was reclaimed from a router that ended, or written off by an operator.
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
    /** The budget exists. */
    data class Found(
        val status: BudgetStatus,
    ) : BudgetStatusResult

    /** There is no such budget. */
    data object NotFound : BudgetStatusResult

    /** The table did not respond. */
    data class Unavailable(
        val detail: String,
    ) : BudgetStatusResult
}

/** Result of [BudgetAdministration.bills]. */
sealed interface BillsResult {
    /** A page of bills; [more] is true when further bills follow. */
    data class Page(
        val bills: List<Bill>,
        val more: Boolean,
    ) : BillsResult

    /** The table did not respond. */
    data class Unavailable(
        val detail: String,
    ) : BillsResult
}
