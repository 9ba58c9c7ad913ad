package org.lycheemount.testing

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.peer.PeerChannel
import org.lycheemount.peer.PeerHandler
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.peer.PeerReply
import kotlin.random.Random

/**
 * In-memory network between routers, in the virtual time of [scope].
 *
 * @param latencyMs one-way delay of a message.
 */
class FakePeerNetwork(
    private val scope: CoroutineScope,
    private val latencyMs: Long = 1,
    seed: Int = 1,
) {
    private val random = Random(seed)
    private val messengers = linkedMapOf<RouterId, FakePeerMessenger>()
    private val partitionedPairs = mutableSetOf<Set<RouterId>>()

    /** Share of messages that are lost, from 0 to 1. */
    var lossShare: Double = 0.0

    /** Share of messages that are delivered twice, from 0 to 1. */
    var duplicateShare: Double = 0.0

    /** Adds a router and returns its messenger. */
    fun join(identity: RouterIdentity): PeerMessenger = FakePeerMessenger(identity).also { messengers[identity.routerId] = it }

    /** Removes a router, to simulate its crash. */
    fun leave(routerId: RouterId) {
        messengers.remove(routerId)
    }

    /** Blocks all messages between the routers of [left] and those of [right]. */
    fun partition(
        left: Collection<RouterId>,
        right: Collection<RouterId>,
    ) {
        for (one in left) for (other in right) partitionedPairs += setOf(one, other)
    }

    /** Ends all partitions. */
    fun heal() = partitionedPairs.clear()

    private fun reachableMessenger(
        from: RouterId,
        to: RouterId,
    ): FakePeerMessenger? = messengers[to].takeIf { from in messengers && setOf(from, to) !in partitionedPairs }

    private inner class FakePeerMessenger(
        override val self: RouterIdentity,
    ) : PeerMessenger {
        private val handlers = mutableMapOf<PeerChannel, PeerHandler>()

        override fun connectedPeers(): List<RouterIdentity> =
            messengers.values.filter { it !== this && reachableMessenger(self.routerId, it.self.routerId) != null }.map { it.self }

        override suspend fun call(
            to: RouterId,
            channel: PeerChannel,
            payload: ByteArray,
            timeoutMs: Long,
        ): PeerReply {
            if (reachableMessenger(self.routerId, to) == null) return PeerReply.NotDelivered
            val reply = withTimeoutOrNull(timeoutMs) { exchange(to, channel, payload) }
            return if (reply == null) PeerReply.Unknown else PeerReply.Received(reply)
        }

        override fun send(
            to: RouterId,
            channel: PeerChannel,
            payload: ByteArray,
        ): Boolean {
            if (reachableMessenger(self.routerId, to) == null) return false
            scope.launch { deliver(to, channel, payload) }
            return true
        }

        override fun register(
            channel: PeerChannel,
            handler: PeerHandler,
        ) {
            check(handlers.put(channel, handler) == null) { "channel ${channel.value} has a handler" }
        }

        private suspend fun exchange(
            to: RouterId,
            channel: PeerChannel,
            payload: ByteArray,
        ): ByteArray? {
            val reply = deliver(to, channel, payload)
            delay(latencyMs)
            val isDropped = random.nextDouble() < lossShare || reachableMessenger(to, self.routerId) == null
            return if (isDropped || reply == null) awaitForever() else reply
        }

        private suspend fun deliver(
            to: RouterId,
            channel: PeerChannel,
            payload: ByteArray,
        ): ByteArray? {
            delay(latencyMs)
            if (random.nextDouble() < lossShare) return null
            val handler = reachableMessenger(self.routerId, to)?.handlers?.get(channel) ?: return null
            if (random.nextDouble() < duplicateShare) handler.handle(self, payload)
            return handler.handle(self, payload)
        }

        private suspend fun awaitForever(): ByteArray? {
            delay(Long.MAX_VALUE)
            return null
        }
    }
}
