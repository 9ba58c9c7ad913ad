package org.lycheemount.budget

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.encodeToByteArray
import org.lycheemount.common.BudgetId
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.peer.PeerReply
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Moves tokens between the grants of routers without the table. */
internal class TransferExchange(
    private val peers: PeerMessenger,
    private val accounts: BudgetAccounts,
    private val clock: Clock,
    private val options: BudgetOptions,
    private val signals: WorkSignals,
    private val newGrant: (BudgetId) -> Grant,
    private val log: EventLog,
) {
    private val inbox = TransferInbox()
    private val outgoing = ConcurrentHashMap<Long, Outgoing>()
    private val sequences = AtomicLong()
    private val keptTokens = ConcurrentHashMap<Pair<RouterId, BudgetId>, Long>()

    /** While true, arriving transfers are refused. */
    @Volatile
    var draining = false

    fun register() = peers.register(TOKENS_CHANNEL) { from, payload -> handle(from, payload) }

    /**
     * Asks peers one after the other, those that kept most at the last answer first, until [account] no longer lacks tokens.
     * Returns the tokens that are on their way.
     */
    suspend fun askPeers(
        account: BudgetAccount,
        plannedTokens: Long,
    ): Long {
        val candidates = peers.connectedPeers().sortedByDescending { keptTokens[it.routerId to account.budgetId] ?: Long.MAX_VALUE }
        var promised = 0L
        for (peer in candidates.take(PEERS_ASKED)) {
            val lacking = synchronized(account) { account.lackingTokens(clock.monotonicMs()) } - promised
            val planned = plannedTokens - promised
            if (lacking <= 0 && planned <= 0) break
            promised += ask(peer, TokenMessage.Needed(account.budgetId, lacking.coerceAtLeast(0), planned.coerceAtLeast(0)))
        }
        return promised
    }

    /**
     * Gives up transfers whose receiver ended, as [isGone] or a newer process of it shows. Whether they were applied is unknown, so
     * their tokens stay charged as sent.
     */
    fun abandonLost(isGone: (RouterIdentity) -> Boolean) {
        val connected = peers.connectedPeers().associateBy { it.routerId }
        for (transfer in outgoing.values.sortedBy { it.sequence }) {
            val replaced = (connected[transfer.to.routerId]?.incarnation ?: 0) > transfer.to.incarnation
            if (replaced || isGone(transfer.to)) finish(transfer, TransferAnswer.OTHER_INCARNATION)
        }
    }

    /** Sends every unanswered transfer that has no message under way, each on its own so that no peer delays another. */
    fun sendOpenTransfers(scope: CoroutineScope) {
        for (transfer in outgoing.values.filter { !it.underWay }.sortedBy { it.sequence }) {
            transfer.underWay = true
            scope.launch {
                send(transfer)
                transfer.underWay = false
            }
        }
    }

    fun openTransfers(): Int = outgoing.size

    private suspend fun ask(
        peer: RouterIdentity,
        message: TokenMessage.Needed,
    ): Long {
        val reply = peers.call(peer.routerId, TOKENS_CHANNEL, encode(message), options.peerTimeoutMs)
        if (reply !is PeerReply.Answered) return 0
        val answer = decodePeerMessage<NeededAnswer>(reply.payload) ?: return 0
        keptTokens[peer.routerId to message.budgetId] = answer.keptTokens
        return answer.sentTokens
    }

    private fun handle(
        from: RouterIdentity,
        payload: ByteArray,
    ): ByteArray? =
        when (val message = decodePeerMessage<TokenMessage>(payload)) {
            null -> null
            is TokenMessage.Needed -> peerCbor.encodeToByteArray(donate(from, message))
            is TokenMessage.Transfer -> peerCbor.encodeToByteArray(receive(from, message))
        }

    private fun donate(
        to: RouterIdentity,
        needed: TokenMessage.Needed,
    ): NeededAnswer {
        val account = accounts.find(needed.budgetId) ?: return NeededAnswer(0, 0)
        synchronized(account) {
            val nowMs = clock.monotonicMs()
            val usable = account.usableTokens(nowMs)
            val tokens = donationTokens(donorState(account, usable, to), needed, options)
            val grant = account.grant
            if (tokens <= 0 || grant == null) return NeededAnswer(0, usable)
            grant.send(tokens)
            account.unackedTransfers++
            val transfer = Outgoing(sequences.getAndIncrement(), to, account, grant, tokens)
            outgoing[transfer.sequence] = transfer
            signals.transfer()
            return NeededAnswer(tokens, usable - tokens)
        }
    }

    private fun donorState(
        account: BudgetAccount,
        usable: Long,
        to: RouterIdentity,
    ) = DonorState(
        usableTokens = usable,
        ratePerMs = account.meter.ratePerMs,
        lackingTokens = account.lackingTokens(clock.monotonicMs()),
        yieldsTies = peers.self.routerId.value < to.routerId.value,
    )

    private fun receive(
        from: RouterIdentity,
        transfer: TokenMessage.Transfer,
    ): TransferAnswer {
        if (transfer.receiverIncarnation != peers.self.incarnation) return TransferAnswer.OTHER_INCARNATION
        return inbox.decideOnce(from, transfer) {
            if (draining) return@decideOnce TransferAnswer.REFUSED
            val account = accounts.getOrCreate(transfer.budgetId)
            synchronized(account) {
                if (account.closing) return@decideOnce TransferAnswer.LATER
                account.retireClosedGrant()
                val grant = account.grant ?: newGrant(transfer.budgetId).also { account.grant = it }
                grant.receive(transfer.tokens)
                account.lastRefillAtMs = clock.monotonicMs()
                account.wakeWaiters(clock.monotonicMs())
            }
            TransferAnswer.APPLIED
        }
    }

    private suspend fun send(transfer: Outgoing) {
        val message =
            TokenMessage.Transfer(
                transfer.sequence,
                outgoing.values.filter { it.to == transfer.to }.minOfOrNull { it.sequence } ?: transfer.sequence,
                transfer.account.budgetId,
                transfer.tokens,
                transfer.to.incarnation,
            )
        when (val reply = peers.call(transfer.to.routerId, TOKENS_CHANNEL, encode(message), options.peerTimeoutMs)) {
            is PeerReply.Answered -> finish(transfer, decodePeerMessage(reply.payload) ?: TransferAnswer.LATER)
            PeerReply.NotDelivered -> if (!transfer.maybeDelivered) finish(transfer, TransferAnswer.REFUSED)
            PeerReply.Unknown -> transfer.maybeDelivered = true
        }
    }

    private fun finish(
        transfer: Outgoing,
        answer: TransferAnswer,
    ) {
        if (answer == TransferAnswer.LATER) {
            transfer.maybeDelivered = true
            return
        }
        if (outgoing.remove(transfer.sequence) == null) return
        synchronized(transfer.account) {
            transfer.account.unackedTransfers--
            if (answer == TransferAnswer.REFUSED) transfer.grant.takeBack(transfer.tokens)
            transfer.account.wakeWaiters(clock.monotonicMs())
        }
        val budget = transfer.account.budgetId.value
        if (answer == TransferAnswer.OTHER_INCARNATION) {
            log.warn("transfer_stranded", "budget" to budget, "to" to transfer.to.routerId.value, "tokens" to transfer.tokens)
        }
    }

    private fun encode(message: TokenMessage) = peerCbor.encodeToByteArray(message)

    private class Outgoing(
        val sequence: Long,
        val to: RouterIdentity,
        val account: BudgetAccount,
        val grant: Grant,
        val tokens: Long,
    ) {
        @Volatile
        var underWay = false

        @Volatile
        var maybeDelivered = false
    }

    private companion object {
        private const val PEERS_ASKED = 8
    }
}
