package org.lycheemount.budget

import kotlinx.coroutines.CompletableDeferred
import org.lycheemount.common.BudgetId

/** State of one budget on this router. All access is guarded by the monitor of the account. */
internal class BudgetAccount(
    val budgetId: BudgetId,
    val meter: SpendMeter = SpendMeter(),
) {
    var grant: Grant? = null

    /** Grants that another router closed while they still had bills or reservations here. */
    val closedGrants = mutableListOf<Grant>()
    val waiters = mutableListOf<Waiter>()

    /** Grants that this router has closed lately, oldest first: its own and those of ended processes. An older copy does not show it. */
    val closings = ArrayDeque<Closing>()

    /** Era of the store in which all grants of this account were last claimed after a change; 0 for none. */
    var claimedEra = 0L

    /** Last known row of the budget; null before the first read, and when the row must be read again. */
    var budgetRow: BudgetRow? = null
    var budgetVersion = 0L
    var budgetReadAtMs = Long.MIN_VALUE / 2

    /** Remaining tokens of the whole budget, as last read; null while unknown. */
    var balance: BudgetBalance? = null

    /** Largest number of tokens that a refused request needs; 0 for none. */
    var unmetDemandTokens = 0L
    var unmetDemandAtMs = Long.MIN_VALUE / 2
    var lastRefillAtMs = Long.MIN_VALUE / 2

    /** Set when a request was refused or tokens ran low; frequent passes skip all other accounts. */
    @Volatile
    var needsAttention = false

    /** True while the outcome of a transaction that returns the whole grant is unknown. */
    var closing = false

    /** Latest transaction that returns the whole grant. */
    var closingTransactionId = ""

    /** Number of transfers to peers that were not acknowledged. */
    var unackedTransfers = 0

    fun usableTokens(nowMs: Long): Long = if (closing) 0 else grant?.usableTokens(nowMs) ?: 0

    /** Monotonic time of the first refusal since demand was last met. */
    var unmetDemandSinceMs = 0L
        private set
    var nextPeerRequestAtMs = Long.MIN_VALUE / 2
        private set
    private var lastPeerRequestAtMs = Long.MIN_VALUE / 2
    private var peerRequestDelayMs = PEER_REQUEST_DELAY_MS

    /** Largest number of tokens that a peer asked for and this router could not lend because of its ceiling. */
    private var peerDemandTokens = 0L
    private var peerDemandAtMs = Long.MIN_VALUE / 2

    fun recordUnmetDemand(
        tokens: Long,
        nowMs: Long,
    ) {
        needsAttention = true
        if (unmetDemandTokens == 0L) unmetDemandSinceMs = nowMs
        unmetDemandTokens = maxOf(unmetDemandTokens, tokens)
        unmetDemandAtMs = nowMs
        // Peers that could not cover earlier requests may cover this one, which does not wait for long.
        nextPeerRequestAtMs = minOf(nextPeerRequestAtMs, lastPeerRequestAtMs + NEW_DEMAND_DELAY_MS)
    }

    /** Records that a peer asked for [tokens], of which the ceiling of this router allowed only a part. */
    fun recordPeerDemand(
        tokens: Long,
        nowMs: Long,
    ) {
        needsAttention = true
        if (nowMs - peerDemandAtMs > PEER_DEMAND_EXPIRY_MS) peerDemandTokens = 0
        peerDemandTokens = maxOf(peerDemandTokens, tokens)
        peerDemandAtMs = nowMs
    }

    /** Tokens that requests of this router or of a peer are waiting for; 0 for none. */
    fun awaitedTokens(nowMs: Long): Long {
        val peerTokens = if (nowMs - peerDemandAtMs > PEER_DEMAND_EXPIRY_MS) 0 else peerDemandTokens
        return maxOf(unmetDemandTokens, waiters.sumOf { it.tokens }) + peerTokens
    }

    /** Schedules the next request to peers; the delay doubles while peers promise no tokens. */
    fun recordPeerRequest(
        nowMs: Long,
        promised: Boolean,
    ) {
        peerRequestDelayMs = if (promised) PEER_REQUEST_DELAY_MS else minOf(peerRequestDelayMs * 2, PEER_REQUEST_DELAY_MAX_MS)
        lastPeerRequestAtMs = nowMs
        nextPeerRequestAtMs = nowMs + peerRequestDelayMs
    }

    /** True when a recent balance shows that fewer than [tokens] remain on all routers and in the table. */
    fun isKnownExhausted(
        tokens: Long,
        nowMs: Long,
    ): Boolean = balance?.let { nowMs - it.readAtMs <= BALANCE_MAX_AGE_MS && it.remainingTokens < tokens } ?: false

    fun demand(routers: Int): GrantDemand =
        GrantDemand(grant?.freeTokens ?: 0, meter.ratePerMs, meter.largestReservationTokens, unmetDemandTokens, routers)

    /** Tokens that this router lacks for a refused request. */
    fun shortfallTokens(nowMs: Long): Long = (unmetDemandTokens - usableTokens(nowMs)).coerceAtLeast(0)

    /** Completes waiters in order of arrival while the usable tokens cover them. */
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

    /** All grants that may still have unwritten bills. */
    fun allGrants(): List<Grant> = closedGrants + listOfNotNull(grant)

    /** Remembers the final [row] of a grant, which this router has closed in [transactionId]. */
    fun recordClosing(
        row: GrantRow,
        transactionId: String,
        nowMs: Long,
    ) {
        while (closings.isNotEmpty() && nowMs - closings.first().closedAtMs > CLOSING_RETENTION_MS) closings.removeFirst()
        closings += Closing(row, transactionId, nowMs)
    }

    /** Moves a closed grant to [closedGrants], so that the next refill starts a new one. */
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

    /** A grant with its final [row], which [transactionId] has closed or deleted. */
    class Closing(
        val row: GrantRow,
        val transactionId: String,
        val closedAtMs: Long,
    ) {
        /** Era of the store in which the row was last written again; 0 for none. */
        var writtenEra = 0L
    }

    private companion object {
        /** Longer than a copy of the store is old when the store comes back from it. */
        private const val CLOSING_RETENTION_MS = 60_000L
        private const val PEER_REQUEST_DELAY_MS = 20L
        private const val PEER_REQUEST_DELAY_MAX_MS = 640L
        private const val NEW_DEMAND_DELAY_MS = 40L
        private const val BALANCE_MAX_AGE_MS = 5_000L

        /** A peer asks again after [PEER_REQUEST_DELAY_MS] and more, which finds the raised ceiling. */
        private const val PEER_DEMAND_EXPIRY_MS = 200L
    }
}

/**
 * Balance of a whole budget, computed from one read of its row and of all of its grants.
 *
 * @property remainingTokens tokens that are neither settled nor charged; 0 for a budget that does not exist.
 * @property readAtMs monotonic time of the read.
 */
internal data class BudgetBalance(
    val remainingTokens: Long,
    val readAtMs: Long,
)
