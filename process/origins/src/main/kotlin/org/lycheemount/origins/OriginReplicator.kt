package org.lycheemount.origins

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterIdentity
import org.lycheemount.peer.PeerChannel
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.peer.PeerReply

/**
 * Copies the origins of streams that this router begins to one peer, in another zone where possible, and keeps those of others.
 *
 * The peer writes them to the table when the store has come back from an older copy, and at once while the router that began the streams
 * cannot reach the table. No request waits for it.
 */
internal class OriginReplicator(
    private val peers: PeerMessenger,
    private val state: OriginState,
    private val clock: Clock,
    private val log: EventLog,
) {
    /** Peer that has all copies that are not to be sent; null while there is none. */
    private var replicaPeer: RouterIdentity? = null

    /** Keeps what peers send from now on. */
    fun register() =
        peers.register(CHANNEL) { from, payload ->
            val copies = decodeCopies(payload, clock.monotonicMs())
            if (copies == null) {
                log.warn("stream_origin_copies_unreadable", "peer" to from.routerId.value)
                null
            } else {
                state.onPeerCopies(copies)
                ByteArray(0)
            }
        }

    /** Sends copies until it is cancelled. */
    suspend fun run() {
        while (true) {
            withTimeoutOrNull(PEER_CHECK_INTERVAL_MS) { state.newCopies.receive() }
            while (sendBatch()) Unit
            delay(state.copyIntervalMs())
        }
    }

    /** Sends what is due. Returns whether there may be more to send now. */
    private suspend fun sendBatch(): Boolean {
        val to = chooseReplicaPeer() ?: return false
        val batch = state.takeCopies(MAX_BATCH)
        if (batch.copies.isEmpty()) return false
        return when (peers.call(to.routerId, CHANNEL, encodeCopies(batch.copies, clock.monotonicMs()), TIMEOUT_MS)) {
            is PeerReply.Received -> {
                state.onHandedOver(batch)
                batch.copies.size >= MAX_BATCH
            }
            PeerReply.Unknown -> {
                state.putBackCopies(batch)
                false
            }
            PeerReply.NotDelivered -> {
                replicaPeer = null
                false
            }
        }
    }

    private fun chooseReplicaPeer(): RouterIdentity? {
        val connected = peers.connectedPeers()
        replicaPeer?.takeIf { it in connected }?.let { return it }
        val self = peers.self
        val preferred =
            connected.minWithOrNull(
                compareBy({ it.zoneId == self.zoneId }, { hashOf("${it.routerId.value}\u0000${self.routerId.value}") }),
            )
        return preferred.also {
            replicaPeer = it
            if (it != null) state.copyAllAgain()
        }
    }

    private companion object {
        private val CHANNEL = PeerChannel("origins")
        private const val MAX_BATCH = 1_000
        private const val TIMEOUT_MS = 1_000L
        private const val PEER_CHECK_INTERVAL_MS = 2_000L
    }
}
