package org.lycheemount.budget

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToByteArray
import org.lycheemount.common.RequestId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.peer.PeerChannel
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.peer.PeerReply

internal val BILLS_CHANNEL = PeerChannel("budget.bills")

/**
 * Update of the bill replicas that a peer stores for the sender.
 *
 * @property bills bills to store.
 * @property writtenIds requests whose bills are in the table, so that their replicas can be dropped.
 */
@Serializable
internal data class BillReplicaUpdate(
    @SerialName("kept") val bills: List<BillRow>,
    @SerialName("written") val writtenIds: List<RequestId>,
)

/** Reply to a [BillReplicaUpdate], with the incarnation of the router that stores the replicas. */
@Serializable
internal data class BillReplicaUpdateReply(
    val incarnation: Long,
)

/** Replicates each unwritten bill to one peer, in another zone where possible. */
internal class BillReplicator(
    private val peers: PeerMessenger,
    private val bills: BillQueue,
    private val options: BudgetOptions,
) {
    private val writtenIds = ArrayDeque<RequestId>()

    /** Peer that stores the replicas, or null while there is none. */
    @Volatile
    var replicaPeer: RouterIdentity? = null
        private set

    /** Whether all bills are replicated. */
    val isIdle: Boolean get() = bills.notReplicated(1).isEmpty()

    /** Records bills whose replicas may be dropped. */
    fun recordWritten(bills: List<Bill>) {
        synchronized(writtenIds) {
            bills.forEach { writtenIds += it.requestId }
            while (writtenIds.size > MAX_WRITTEN_IDS) writtenIds.removeFirst()
        }
    }

    /** Sends one batch. Returns true when more bills are waiting and the peer replies. */
    suspend fun replicate(): Boolean {
        val to = chooseReplicaPeer() ?: return false
        val batch = bills.notReplicated(options.billsPerTransaction)
        val droppable = synchronized(writtenIds) { writtenIds.take(options.billsPerTransaction) }
        if (batch.isEmpty() && droppable.size < MIN_WRITTEN_BATCH) return false
        val update = BillReplicaUpdate(batch.map { BillRow(it.bill, it.grant.grantId) }, droppable)
        val peerReply = peers.call(to.routerId, BILLS_CHANNEL, peerCbor.encodeToByteArray(update), options.peerTimeoutMs)
        if (peerReply !is PeerReply.Received) {
            if (peerReply == PeerReply.NotDelivered) dropReplicaPeer()
            return false
        }
        val reply = decodePeerMessage<BillReplicaUpdateReply>(peerReply.payload) ?: return false
        if (reply.incarnation != to.incarnation) {
            dropReplicaPeer()
            return true
        }
        batch.forEach { it.replicated = true }
        synchronized(writtenIds) { repeat(minOf(droppable.size, writtenIds.size)) { writtenIds.removeFirst() } }
        return batch.size == options.billsPerTransaction
    }

    private fun chooseReplicaPeer(): RouterIdentity? {
        val connected = peers.connectedPeers()
        replicaPeer?.let { if (it in connected) return it }
        if (replicaPeer != null) dropReplicaPeer()
        val self = peers.self
        replicaPeer =
            connected.minWithOrNull(compareBy({ it.zoneId == self.zoneId }, { saltedHash(it.routerId.value, self.routerId.value) }))
        return replicaPeer
    }

    private fun dropReplicaPeer() {
        replicaPeer = null
        bills.clearReplicated()
    }

    private companion object {
        private const val MAX_WRITTEN_IDS = 100_000
        private const val MIN_WRITTEN_BATCH = 64
    }
}
