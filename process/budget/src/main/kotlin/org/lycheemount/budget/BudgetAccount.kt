package org.lycheemount.budget

import kotlinx.coroutines.CompletableDeferred
import org.lycheemount.common.BudgetId

/** What this router holds and knows of one budget. All access under the monitor of the account. */
internal class BudgetAccount(
    val budgetId: BudgetId,
) {
    val meter = SpendMeter()
    var grant: Grant? = null

    /** Grants that another router closed while bills or reservations of them were open here. */
    val closedGrants = mutableListOf<Grant>()
    val waiters = mutableListOf<Waiter>()

    /** Row of the budget as last seen, with its version; null before the first read and after a lost race. */
    var budgetRow: BudgetRow? = null
    var budgetVersion = 0L

    /** Tokens of the whole budget that no bill or reservation is known to use; null while that is not known. */
    var knowledge: BudgetKnowledge? = null

    /** Tokens that a refused request still needs; 0 when none does. */
    var wantedTokens = 0L
    var wantedAtMs = Long.MIN_VALUE / 2
    var lastRefillAtMs = Long.MIN_VALUE / 2

    /** True while a transaction that gives the whole grant back is undecided. */
    var closing = false

    /** Transfers to peers that were not acknowledged. */
    var unackedTransfers = 0

    fun usableTokens(nowMs: Long): Long = if (closing) 0 else grant?.usableTokens(nowMs) ?: 0

    fun want(
        tokens: Long,
        nowMs: Long,
    ) {
        wantedTokens = maxOf(wantedTokens, tokens)
        wantedAtMs = nowMs
    }

    /** Completes the waiters whose tokens are there, in order of arrival. */
    fun wakeWaiters(nowMs: Long) {
        var usable = usableTokens(nowMs)
        if (usable >= wantedTokens) wantedTokens = 0
        val iterator = waiters.iterator()
        while (iterator.hasNext()) {
            val waiter = iterator.next()
            if (waiter.tokens > usable) return
            usable -= waiter.tokens
            iterator.remove()
            waiter.granted.complete(true)
        }
    }

    /** Every grant that may still have bills to write. */
    fun allGrants(): List<Grant> = closedGrants + listOfNotNull(grant)

    /** Sets the closed grant aside so that the next refill starts a new one. */
    fun retireClosedGrant() {
        val current = grant ?: return
        if (!current.closed) return
        closedGrants += current
        grant = null
    }

    class Waiter(
        val tokens: Long,
        val granted: CompletableDeferred<Boolean>,
    )
}

/**
 * Answer to "does the budget cover a request anywhere", from one read of the budget and all of its grants.
 *
 * @property remainingTokens tokens that are neither settled nor charged; 0 for a budget that does not exist.
 */
internal data class BudgetKnowledge(
    val remainingTokens: Long,
    val readAtMs: Long,
)
