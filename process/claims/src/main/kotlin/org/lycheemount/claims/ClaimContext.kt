package org.lycheemount.claims

import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.peer.PeerReply

/** What all partitions of one router share. */
internal class ClaimContext(
    val peers: PeerMessenger,
    val changes: PairChanges,
    val outcomes: OutcomeStore,
    val clock: Clock,
    val log: EventLog,
    val options: ClaimOptions,
    val isGone: (RouterIdentity) -> Boolean,
) {
    val self: RouterIdentity = peers.self

    /** Sends [message] and returns the reply, or null when none came. */
    suspend fun call(
        to: RouterId,
        message: ClaimMessage,
    ): ClaimReply? =
        when (val reply = peers.call(to, CLAIMS_CHANNEL, encodeMessage(message), options.callTimeoutMs)) {
            is PeerReply.Answered -> decodeReply(reply.payload)
            PeerReply.NotDelivered, PeerReply.Unknown -> null
        }

    /**
     * Returns a connected router for [partition] beside this one, in another zone if there is one, or null.
     * Every router ranks the candidates alike, and each partition ranks them differently, so that the load is spread.
     */
    fun chooseSecondary(
        partition: Int,
        excluded: Set<RouterIdentity>,
    ): RouterIdentity? =
        peers
            .connectedPeers()
            .filterNot { it in excluded || it.routerId == self.routerId }
            .sortedWith(compareBy({ it.zoneId == self.zoneId }, { rank(partition, it) }))
            .firstOrNull()

    /** Whether this router comes first for a new partition among those that it is connected with. */
    fun choosePrimary(partition: Int): RouterIdentity = (peers.connectedPeers() + self).minBy { rank(partition, it) }

    private fun rank(
        partition: Int,
        router: RouterIdentity,
    ): Int = "$partition/${router.routerId.value}".fold(17) { hash, char -> (hash * 31 + char.code) * HASH_MULTIPLIER }

    private companion object {
        private const val HASH_MULTIPLIER = -1_640_531_527
    }
}
