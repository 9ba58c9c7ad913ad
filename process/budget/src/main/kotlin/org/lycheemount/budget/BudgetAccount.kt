package org.lycheemount.budget

import kotlinx.coroutines.CompletableDeferred
import org.lycheemount.common.BudgetId

/** What this router holds and knows of one budget. All access under the monitor of the account. */
internal class BudgetAccount(
    val budgetId: BudgetId,
    val meter: SpendMeter = SpendMeter(),
) {
    var grant: Grant? = null

    /** Grants that another router closed while bills or reservations of them were open here. */
    val closedGrants = mutableListOf<Grant>()
    val waiters = mutableListOf<Waiter>()

    /** Row of the budget as last seen, with its version; null before the first read and after a lost race. */
    var budgetRow: BudgetRow? = null
    var budgetVersion = 0L
    var budgetReadAtMs = Long.MIN_VALUE / 2

    /** Tokens of the whole budget that no bill or reservation is known to use; null while that is not known. */
    var knowledge: BudgetKnowledge? = null

    /** Tokens that a refused request still needs; 0 when none does. */
    var wantedTokens = 0L
    var wantedAtMs = Long.MIN_VALUE / 2
    var lastRefillAtMs = Long.MIN_VALUE / 2

    /** Set when a request was refused or tokens ran low; lets the frequent passes skip all other accounts. */
    @Volatile
    var needsAttention = false

    /** True while a transaction that gives the whole grant back is undecided. */
    var closing = false

    /** Transfers to peers that were not acknowledged. */
    var unackedTransfers = 0

    fun usableTokens(nowMs: Long): Long = if (closing) 0 else grant?.usableTokens(nowMs) ?: 0

    /** Time of the first refusal since the wanted tokens were last there. */
    var wantedSinceMs = 0L
        private set
    var nextAskAtMs = Long.MIN_VALUE / 2
        private set
    private var askDelayMs = ASK_DELAY_MS

    fun want(
        tokens: Long,
        nowMs: Long,
    ) {
        needsAttention = true
        if (wantedTokens == 0L) wantedSinceMs = nowMs
        wantedTokens = maxOf(wantedTokens, tokens)
        wantedAtMs = nowMs
    }

    /** Peers that had nothing to give are asked again after a growing delay. */
    fun noteAsked(
        nowMs: Long,
        promised: Boolean,
    ) {
        askDelayMs = if (promised) ASK_DELAY_MS else minOf(askDelayMs * 2, ASK_DELAY_MAX_MS)
        nextAskAtMs = nowMs + askDelayMs
    }

    /** True when fresh knowledge says that no router holds [tokens] for a request. */
    fun knownExhausted(
        tokens: Long,
        nowMs: Long,
    ): Boolean = knowledge?.let { nowMs - it.readAtMs <= KNOWLEDGE_FRESH_MS && it.remainingTokens < tokens } ?: false

    fun demand(routers: Int): GrantDemand =
        GrantDemand(grant?.freeTokens ?: 0, meter.ratePerMs, meter.largestReservation, wantedTokens, routers)

    /** Tokens that a refused request still lacks here. */
    fun lackingTokens(nowMs: Long): Long = (wantedTokens - usableTokens(nowMs)).coerceAtLeast(0)

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

    private companion object {
        private const val ASK_DELAY_MS = 20L
        private const val ASK_DELAY_MAX_MS = 640L
        private const val KNOWLEDGE_FRESH_MS = 5_000L
    }
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
