package org.lycheemount.claims

import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.peer.PeerReply

/** Dependencies shared by all partitions of one router. */
internal class ClaimContext(
    val peers: PeerMessenger,
    val partitionRows: PartitionRowStore,
    val outcomes: OutcomeStore,
    val clock: Clock,
    val log: EventLog,
    val options: ClaimOptions,
    val isGone: (RouterIdentity) -> Boolean,
) {
    val self: RouterIdentity = peers.self

    /** Sends [message] and returns the reply, or null when none arrived. */
    suspend fun call(
        to: RouterId,
        message: ClaimMessage,
    ): ClaimReply? =
        when (val reply = peers.call(to, CLAIMS_CHANNEL, encodeMessage(message), options.callTimeoutMs)) {
            is PeerReply.Received -> decodeReply(reply.payload)
            PeerReply.NotDelivered, PeerReply.Unknown -> null
        }

    /**
     * Returns a router other than [primary], preferably in another zone, or null if there is none.
     * All routers rank the candidates alike, and each partition ranks them differently, to distribute the load.
     */
    fun chooseSecondary(
        partition: Int,
        primary: RouterIdentity,
        excluded: Set<RouterIdentity> = emptySet(),
    ): RouterIdentity? =
        candidates()
            .filterNot { it in excluded || it.routerId == primary.routerId }
            .sortedWith(compareBy({ it.zoneId == primary.zoneId }, { rank(partition, it) }))
            .firstOrNull()

    /** Returns the primary for a new partition. */
    fun choosePrimary(partition: Int): RouterIdentity = candidates().minBy { rank(partition, it) }

    private fun candidates() = peers.connectedPeers() + self

    private fun rank(
        partition: Int,
        router: RouterIdentity,
    ): Int = "$partition/${router.routerId.value}".fold(17) { hash, char -> (hash * 31 + char.code) * HASH_MULTIPLIER }

    private companion object {
        private const val HASH_MULTIPLIER = -1_640_531_527
    }
}
