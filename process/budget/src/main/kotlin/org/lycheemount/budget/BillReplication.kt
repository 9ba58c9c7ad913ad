package org.lycheemount.budget

import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToByteArray
import org.lycheemount.common.RequestId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.peer.PeerChannel
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.peer.PeerReply

internal val BILLS_CHANNEL = PeerChannel("budget.bills")

/**
 * Bills of the sender to keep, and bills that are in the table and need no copy any more.
 */
@Serializable
internal data class BillCopies(
    val kept: List<BillRow>,
    val written: List<RequestId>,
)

/** Incarnation of the router that keeps the copies. */
@Serializable
internal data class BillCopiesAnswer(
    val incarnation: Long,
)

/** Keeps a copy of each unwritten bill at one peer, in another zone where possible. */
internal class BillReplication(
    private val peers: PeerMessenger,
    private val bills: BillQueue,
    private val options: BudgetOptions,
) {
    private val written = ArrayDeque<RequestId>()

    /** Router that holds the copies now. */
    @Volatile
    var keeper: RouterIdentity? = null
        private set

    /** Notes bills whose copies may be dropped. */
    fun noteWritten(bills: List<Bill>) {
        synchronized(written) {
            bills.forEach { written += it.requestId }
            while (written.size > WRITTEN_REMEMBERED) written.removeFirst()
        }
    }

    /** Sends one batch. True when more is to be sent and the peer answers. */
    suspend fun replicate(): Boolean {
        val to = chooseKeeper() ?: return false
        val batch = bills.notReplicated(options.billsPerTransaction)
        val dropped = synchronized(written) { written.take(options.billsPerTransaction) }
        if (batch.isEmpty() && dropped.size < DROPPED_WORTH_SENDING) return false
        val copies = BillCopies(batch.map { BillRow(it.bill, it.grant.grantId) }, dropped)
        val reply = peers.call(to.routerId, BILLS_CHANNEL, peerCbor.encodeToByteArray(copies), options.peerTimeoutMs)
        if (reply !is PeerReply.Answered) {
            if (reply == PeerReply.NotDelivered) abandonKeeper()
            return false
        }
        val answer = decodePeerMessage<BillCopiesAnswer>(reply.payload) ?: return false
        if (answer.incarnation != to.incarnation) {
            abandonKeeper()
            return true
        }
        batch.forEach { it.replicated = true }
        synchronized(written) { repeat(minOf(dropped.size, written.size)) { written.removeFirst() } }
        return batch.size == options.billsPerTransaction
    }

    private fun chooseKeeper(): RouterIdentity? {
        val connected = peers.connectedPeers()
        keeper?.let { if (it in connected) return it }
        if (keeper != null) abandonKeeper()
        val self = peers.self
        keeper = connected.minWithOrNull(compareBy({ it.zoneId == self.zoneId }, { mixedHash(it.routerId.value, self.routerId.value) }))
        return keeper
    }

    private fun abandonKeeper() {
        keeper = null
        bills.forgetReplicas()
    }

    private companion object {
        private const val WRITTEN_REMEMBERED = 100_000
        private const val DROPPED_WORTH_SENDING = 64
    }
}
