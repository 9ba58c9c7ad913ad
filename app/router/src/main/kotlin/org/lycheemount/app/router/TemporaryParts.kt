package org.lycheemount.app.router

import org.lycheemount.budget.Bill
import org.lycheemount.budget.BudgetLedger
import org.lycheemount.budget.Charge
import org.lycheemount.budget.ReservationOutcome
import org.lycheemount.claims.ClaimOutcome
import org.lycheemount.claims.ClaimRegistry
import org.lycheemount.claims.RecordedOutcome
import org.lycheemount.common.BudgetId
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.IdempotencyKey
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.RequestId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.TeamId
import org.lycheemount.peer.PeerChannel
import org.lycheemount.peer.PeerHandler
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.peer.PeerReply
import java.util.concurrent.ConcurrentHashMap

/** Ledger with a fixed grant for each budget, until process/budget delivers its own. Logs each bill. */
internal class TemporaryLedger(
    private val routerId: RouterId,
    private val clock: Clock,
    private val eventLog: EventLog,
) : BudgetLedger {
    private val reserved = HashMap<RequestId, Pair<BudgetId, Long>>()
    private val bills = HashMap<RequestId, Bill>()
    private val available = HashMap<BudgetId, Long>()

    @Synchronized
    override fun reserve(
        requestId: RequestId,
        budgetId: BudgetId,
        tokens: Long,
        nowMs: Long,
    ): ReservationOutcome {
        val left = available.getOrPut(budgetId) { GRANT_TOKENS }
        if (left < tokens) return ReservationOutcome.Refused(Refusal(RefusalReason.BUDGET_EXHAUSTED, "the grant is used up"))
        available[budgetId] = left - tokens
        reserved[requestId] = budgetId to tokens
        return ReservationOutcome.Reserved(tokens)
    }

    override fun extend(
        requestId: RequestId,
        additionalTokens: Long,
        nowMs: Long,
    ): ReservationOutcome = ReservationOutcome.Refused(Refusal(RefusalReason.BUDGET_EXHAUSTED, "the grant is used up"))

    @Synchronized
    override fun settle(
        requestId: RequestId,
        charge: Charge,
        nowMs: Long,
    ): Bill {
        bills[requestId]?.let { return it }
        val (budgetId, tokens) = checkNotNull(reserved.remove(requestId))
        available.merge(budgetId, tokens - charge.totalTokens, Long::plus)
        val bill = Bill(requestId, budgetId, routerId, charge, clock.wallClockMs())
        eventLog.info("billed", "request_id" to requestId.value, "budget_id" to budgetId.value, "tokens" to charge.totalTokens)
        return bill.also { bills[requestId] = it }
    }

    @Synchronized
    override fun release(
        requestId: RequestId,
        nowMs: Long,
    ) {
        val (budgetId, tokens) = reserved.remove(requestId) ?: return
        available.merge(budgetId, tokens, Long::plus)
    }

    private companion object {
        private const val GRANT_TOKENS = 1_000_000_000L
    }
}

/** Claims within this router only, until process/claims delivers its own. */
internal class TemporaryClaims : ClaimRegistry {
    private val holders = ConcurrentHashMap<Pair<TeamId, IdempotencyKey>, RequestId>()
    private val outcomes = ConcurrentHashMap<Pair<TeamId, IdempotencyKey>, RecordedOutcome>()

    override suspend fun claim(
        teamId: TeamId,
        key: IdempotencyKey,
        requestId: RequestId,
        requestFingerprint: String,
    ): ClaimOutcome {
        outcomes[teamId to key]?.let { return ClaimOutcome.Finished(it) }
        val holder = holders.putIfAbsent(teamId to key, requestId) ?: return ClaimOutcome.Granted
        return ClaimOutcome.AlreadyRunning(holder)
    }

    override suspend fun finish(
        teamId: TeamId,
        key: IdempotencyKey,
        requestId: RequestId,
        outcome: RecordedOutcome,
    ) {
        if (outcome is RecordedOutcome.NotRun) holders.remove(teamId to key) else outcomes[teamId to key] = outcome
    }
}

/** Messenger of a router without peers, until connection/peer delivers its own. */
internal class TemporaryMessenger(
    override val self: RouterIdentity,
) : PeerMessenger {
    override fun connectedPeers(): List<RouterIdentity> = emptyList()

    override suspend fun call(
        to: RouterId,
        channel: PeerChannel,
        payload: ByteArray,
        timeoutMs: Long,
    ): PeerReply = PeerReply.NotDelivered

    override fun send(
        to: RouterId,
        channel: PeerChannel,
        payload: ByteArray,
    ): Boolean = false

    override fun register(
        channel: PeerChannel,
        handler: PeerHandler,
    ) = Unit
}
