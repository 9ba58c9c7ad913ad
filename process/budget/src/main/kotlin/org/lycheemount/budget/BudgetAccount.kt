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
    var balance: BudgetBalance? = null

    /** Tokens that a refused request still needs; 0 when none does. */
    var unmetDemandTokens = 0L
    var unmetDemandAtMs = Long.MIN_VALUE / 2
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
    var unmetDemandSinceMs = 0L
        private set
    var nextPeerRequestAtMs = Long.MIN_VALUE / 2
        private set
    private var peerRequestDelayMs = PEER_REQUEST_DELAY_MS

    fun recordUnmetDemand(
        tokens: Long,
        nowMs: Long,
    ) {
        needsAttention = true
        if (unmetDemandTokens == 0L) unmetDemandSinceMs = nowMs
        unmetDemandTokens = maxOf(unmetDemandTokens, tokens)
        unmetDemandAtMs = nowMs
    }

    /** Peers that had nothing to give are asked again after a growing delay. */
    fun recordPeerRequest(
        nowMs: Long,
        promised: Boolean,
    ) {
        peerRequestDelayMs = if (promised) PEER_REQUEST_DELAY_MS else minOf(peerRequestDelayMs * 2, PEER_REQUEST_DELAY_MAX_MS)
        nextPeerRequestAtMs = nowMs + peerRequestDelayMs
    }

    /** True when a fresh balance says that no router holds [tokens] for a request. */
    fun isKnownExhausted(
        tokens: Long,
        nowMs: Long,
    ): Boolean = balance?.let { nowMs - it.readAtMs <= BALANCE_MAX_AGE_MS && it.remainingTokens < tokens } ?: false

    fun demand(routers: Int): GrantDemand =
        GrantDemand(grant?.freeTokens ?: 0, meter.ratePerMs, meter.largestReservationTokens, unmetDemandTokens, routers)

    /** Tokens that a refused request still lacks here. */
    fun shortfallTokens(nowMs: Long): Long = (unmetDemandTokens - usableTokens(nowMs)).coerceAtLeast(0)

    /** Completes the waiters whose tokens are there, in order of arrival. */
    fun wakeWaiters(nowMs: Long) {
        var usable = usableTokens(nowMs)
        if (usable >= unmetDemandTokens) unmetDemandTokens = 0
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
        private const val PEER_REQUEST_DELAY_MS = 20L
        private const val PEER_REQUEST_DELAY_MAX_MS = 640L
        private const val BALANCE_MAX_AGE_MS = 5_000L
    }
}

/**
 * Answer to "does the budget cover a request anywhere", from one read of the budget and all of its grants.
 *
 * @property remainingTokens tokens that are neither settled nor charged; 0 for a budget that does not exist.
 */
internal data class BudgetBalance(
    val remainingTokens: Long,
    val readAtMs: Long,
)
