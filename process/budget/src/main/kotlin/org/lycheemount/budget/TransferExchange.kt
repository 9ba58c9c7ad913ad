package org.lycheemount.budget

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
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
import kotlin.random.Random

/** Transfers tokens between the grants of routers without the table. */
internal class TransferExchange(
    private val peers: PeerMessenger,
    private val accounts: BudgetAccounts,
    private val clock: Clock,
    private val options: BudgetOptions,
    private val signals: WorkSignals,
    private val newGrant: (BudgetId) -> Grant,
    private val log: EventLog,
    private val random: Random,
) {
    private val inbox = TransferInbox()
    private val outgoing = ConcurrentHashMap<Long, OutgoingTransfer>()
    private val nextSequence = AtomicLong()
    private val lastKeptTokens = ConcurrentHashMap<Pair<RouterId, BudgetId>, Long>()

    /** While true, arriving transfers are refused. */
    @Volatile
    var draining = false

    /** Whether there is no transfer to send or to send again. */
    val isIdle: Boolean get() = outgoing.isEmpty()

    fun register() = peers.register(TOKENS_CHANNEL) { from, payload -> onMessage(from, payload) }

    /**
     * Requests tokens from peers, some at a time, until [account] no longer lacks tokens. Each is asked for an equal part of what is
     * lacking. Peers that have not been asked yet come first, then those that kept the most tokens at their last reply. If tokens are still
     * lacking, those that kept some are asked for the rest. Returns the number of tokens in transit.
     */
    suspend fun requestFromPeers(
        account: BudgetAccount,
        plannedTokens: Long,
    ): Long {
        val candidatePeers =
            peers
                .connectedPeers()
                .shuffled(random)
                .sortedByDescending { keptTokens(it, account) ?: Long.MAX_VALUE }
                .take(MAX_PEERS_PER_REQUEST)
        var inTransitTokens = 0L
        for (askedPeers in candidatePeers.chunked(PEERS_AT_ONCE)) {
            val lackingTokens = lackingTokens(account, inTransitTokens)
            val outstandingPlannedTokens = plannedTokens - inTransitTokens
            if (lackingTokens <= 0 && outstandingPlannedTokens <= 0) return inTransitTokens
            val request =
                TokenMessage.TokenRequest(
                    account.budgetId,
                    partOf(lackingTokens, askedPeers.size),
                    partOf(outstandingPlannedTokens, askedPeers.size),
                )
            inTransitTokens += requestAtOnce(askedPeers.associateWith { request })
        }
        val lackingTokens = lackingTokens(account, inTransitTokens)
        if (lackingTokens <= 0) return inTransitTokens
        val parts = partsOfRest(lackingTokens, candidatePeers.associateWith { keptTokens(it, account) ?: 0 })
        return inTransitTokens + requestAtOnce(parts.mapValues { (_, tokens) -> TokenMessage.TokenRequest(account.budgetId, tokens, 0) })
    }

    private fun lackingTokens(
        account: BudgetAccount,
        inTransitTokens: Long,
    ): Long = synchronized(account) { account.shortfallTokens(clock.monotonicMs()) } - inTransitTokens

    private fun keptTokens(
        peer: RouterIdentity,
        account: BudgetAccount,
    ): Long? = lastKeptTokens[peer.routerId to account.budgetId]

    /** Sends each request to its peer, all at once, and returns the number of tokens that they promise. */
    private suspend fun requestAtOnce(requests: Map<RouterIdentity, TokenMessage.TokenRequest>): Long =
        coroutineScope { requests.map { (peer, request) -> async { requestTokens(peer, request) } }.awaitAll() }.sum()

    /**
     * Abandons transfers whose receiver has ended, according to [isGone] or to a newer incarnation. They may have been applied, so
     * their tokens stay charged as sent.
     */
    fun abandonUndeliverable(isGone: (RouterIdentity) -> Boolean) {
        val connected = peers.connectedPeers().associateBy { it.routerId }
        for (transfer in outgoing.values.sortedBy { it.sequence }) {
            val isReplaced = (connected[transfer.to.routerId]?.incarnation ?: 0) > transfer.to.incarnation
            if (isReplaced || isGone(transfer.to)) complete(transfer, TransferReply.OTHER_INCARNATION)
        }
    }

    /** Sends all open transfers that are not in flight, each in its own coroutine, so that a slow peer does not delay others. */
    fun sendOpenTransfers(scope: CoroutineScope) {
        for (transfer in outgoing.values.filter { !it.inFlight }.sortedBy { it.sequence }) {
            transfer.inFlight = true
            scope.launch {
                send(transfer)
                transfer.inFlight = false
            }
        }
    }

    fun openTransferCount(): Int = outgoing.size

    private fun partOf(
        tokens: Long,
        peerCount: Int,
    ): Long = (tokens.coerceAtLeast(0) + peerCount - 1) / peerCount

    private suspend fun requestTokens(
        peer: RouterIdentity,
        message: TokenMessage.TokenRequest,
    ): Long {
        val peerReply = peers.call(peer.routerId, TOKENS_CHANNEL, encode(message), options.peerTimeoutMs)
        if (peerReply !is PeerReply.Received) return 0
        val reply = decodePeerMessage<TokenRequestReply>(peerReply.payload) ?: return 0
        lastKeptTokens[peer.routerId to message.budgetId] = reply.keptTokens
        return reply.sentTokens
    }

    private fun onMessage(
        from: RouterIdentity,
        payload: ByteArray,
    ): ByteArray? =
        when (val message = decodePeerMessage<TokenMessage>(payload)) {
            null -> null
            is TokenMessage.TokenRequest -> peerCbor.encodeToByteArray(replyToTokenRequest(from, message))
            is TokenMessage.Transfer -> peerCbor.encodeToByteArray(receive(from, message))
        }

    private fun replyToTokenRequest(
        to: RouterIdentity,
        tokenRequest: TokenMessage.TokenRequest,
    ): TokenRequestReply {
        val account = accounts.find(tokenRequest.budgetId) ?: return TokenRequestReply(0, 0)
        synchronized(account) {
            val nowMs = clock.monotonicMs()
            val usableTokens = account.usableTokens(nowMs)
            val tokens = transferableTokens(senderState(account, usableTokens, to), tokenRequest, options)
            val grant = account.grant ?: return TokenRequestReply(0, usableTokens)
            val isHeldBackByCeiling = usableTokens < tokenRequest.shortfallTokens && usableTokens < grant.freeTokens
            if (isHeldBackByCeiling) {
                account.recordPeerDemand(minOf(tokenRequest.shortfallTokens, grant.freeTokens), nowMs)
                signals.signalTableWork()
            }
            if (tokens <= 0) return TokenRequestReply(0, usableTokens)
            grant.send(tokens)
            account.unackedTransfers++
            val transfer = OutgoingTransfer(nextSequence.getAndIncrement(), to, account, grant, tokens)
            outgoing[transfer.sequence] = transfer
            signals.signalTransfer()
            return TokenRequestReply(tokens, usableTokens - tokens)
        }
    }

    private fun senderState(
        account: BudgetAccount,
        usableTokens: Long,
        to: RouterIdentity,
    ) = SenderState(
        usableTokens = usableTokens,
        ratePerMs = account.meter.ratePerMs,
        shortfallTokens = account.shortfallTokens(clock.monotonicMs()),
        yieldsOnTie = peers.self.routerId.value < to.routerId.value,
    )

    private fun receive(
        from: RouterIdentity,
        transfer: TokenMessage.Transfer,
    ): TransferReply {
        if (transfer.receiverIncarnation != peers.self.incarnation) return TransferReply.OTHER_INCARNATION
        return inbox.decideOnce(from, transfer) {
            if (draining) return@decideOnce TransferReply.REFUSED
            val account = accounts.getOrCreate(transfer.budgetId)
            synchronized(account) {
                if (account.closing) return@decideOnce TransferReply.LATER
                account.retireClosedGrant()
                val grant = account.grant ?: newGrant(transfer.budgetId).also { account.grant = it }
                grant.receive(transfer.tokens)
                account.lastRefillAtMs = clock.monotonicMs()
                account.wakeWaiters(clock.monotonicMs())
            }
            TransferReply.APPLIED
        }
    }

    private suspend fun send(transfer: OutgoingTransfer) {
        val message =
            TokenMessage.Transfer(
                transfer.sequence,
                outgoing.values.filter { it.to == transfer.to }.minOfOrNull { it.sequence } ?: transfer.sequence,
                transfer.account.budgetId,
                transfer.tokens,
                transfer.to.incarnation,
            )
        when (val peerReply = peers.call(transfer.to.routerId, TOKENS_CHANNEL, encode(message), options.peerTimeoutMs)) {
            is PeerReply.Received -> complete(transfer, decodePeerMessage(peerReply.payload) ?: TransferReply.LATER)
            PeerReply.NotDelivered -> if (!transfer.maybeDelivered) complete(transfer, TransferReply.REFUSED)
            PeerReply.Unknown -> transfer.maybeDelivered = true
        }
    }

    private fun complete(
        transfer: OutgoingTransfer,
        reply: TransferReply,
    ) {
        if (reply == TransferReply.LATER) {
            transfer.maybeDelivered = true
            return
        }
        if (outgoing.remove(transfer.sequence) == null) return
        synchronized(transfer.account) {
            transfer.account.unackedTransfers--
            if (reply == TransferReply.REFUSED) transfer.grant.cancelSend(transfer.tokens)
            transfer.account.wakeWaiters(clock.monotonicMs())
        }
        val budget = transfer.account.budgetId.value
        if (reply == TransferReply.OTHER_INCARNATION) {
            log.warn("transfer_stranded", "budget" to budget, "to" to transfer.to.routerId.value, "tokens" to transfer.tokens)
        }
    }

    private fun encode(message: TokenMessage) = peerCbor.encodeToByteArray(message)

    private class OutgoingTransfer(
        val sequence: Long,
        val to: RouterIdentity,
        val account: BudgetAccount,
        val grant: Grant,
        val tokens: Long,
    ) {
        @Volatile
        var inFlight = false

        @Volatile
        var maybeDelivered = false
    }

    private companion object {
        private const val MAX_PEERS_PER_REQUEST = 32
        private const val PEERS_AT_ONCE = 8
    }
}
