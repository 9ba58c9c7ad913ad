package org.lycheemount.budget

import org.lycheemount.common.BudgetId
import org.lycheemount.common.RouterIdentity

/**
 * Shows operators which tokens of budgets nobody can use since the store came back from an older copy, because a router that may have used
 * them has ended without a report, and releases them. Safe to call while routers serve.
 */
interface RestoredBudgetAdministration {
    /** Reads the budgets of which tokens cannot be used, and the routers whose reports are missing. */
    suspend fun status(): RestoredBudgetsResult

    /**
     * Makes tokens of [budgetId] available that are set aside, and those of the restored grants of [endedRouters], less [keptTokens].
     * Refused unless exactly the routers whose reports are missing are named, and none of them is seen to run. The tokens that the named
     * routers had used since the copy, beyond [keptTokens], are spent a second time.
     */
    suspend fun release(
        budgetId: BudgetId,
        endedRouters: Set<EndedRouter>,
        keptTokens: Long,
    ): TokenRelease
}

/** A router process that an operator states to have ended for good. */
data class EndedRouter(
    val routerId: String,
    val incarnation: Long,
)

/** Result of [RestoredBudgetAdministration.status]. */
sealed interface RestoredBudgetsResult {
    /**
     * @property budgets budgets with tokens that nobody can use, ordered by id.
     * @property missingRouters routers that have not reported what they hold.
     * @property hasWitness whether a router that was running when the copy was made has reported. Without one, routers may have held
     *   tokens that are not among [missingRouters].
     */
    data class Found(
        val budgets: List<RestoredBudget>,
        val missingRouters: List<MissingRouter>,
        val hasWitness: Boolean,
    ) : RestoredBudgetsResult

    /** The table did not respond, or a row in it is unreadable, as [detail] says. */
    data class Unavailable(
        val detail: String,
    ) : RestoredBudgetsResult
}

/**
 * A budget of which nobody can use some tokens.
 *
 * @property setAsideTokens tokens that were unallocated in the restored row and that no router has claimed.
 * @property missingGrantTokens tokens of restored grants of routers whose reports are missing.
 */
data class RestoredBudget(
    val budgetId: BudgetId,
    val limitTokens: Long,
    val setAsideTokens: Long,
    val missingGrantTokens: Long,
)

/** A router that may hold tokens of the time before the return and has not reported. */
data class MissingRouter(
    val identity: RouterIdentity,
    val state: MissingRouterState,
)

/** What is known of a router that has not reported. */
enum class MissingRouterState {
    /** A later process on the same VM has reported, so this one has ended. */
    REPLACED,

    /** Its VM accepts connections, so it may be running. */
    REACHABLE,

    /** Its VM accepts no connection, or its address is not known. It may have ended, or be cut off. */
    UNREACHABLE,
}

/** Outcome of [RestoredBudgetAdministration.release]. */
sealed interface TokenRelease {
    /** [releasedTokens] can be used again; the rest stays charged. */
    data class Released(
        val releasedTokens: Long,
    ) : TokenRelease

    /** Nothing changed, because of the state of the budget or of a router, as [detail] says. */
    data class Refused(
        val detail: String,
    ) : TokenRelease

    /** Nothing changed, or it is not known whether something did. */
    data class Failed(
        val change: BudgetChange,
    ) : TokenRelease
}

/** Tells whether a router VM runs. */
fun interface RouterProbe {
    /** Whether the VM of [router] accepts connections from here. */
    suspend fun isReachable(router: RouterIdentity): Boolean
}
