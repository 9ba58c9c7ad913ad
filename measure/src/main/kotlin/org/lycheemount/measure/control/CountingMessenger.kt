package org.lycheemount.measure.control

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.peer.PeerChannel
import org.lycheemount.peer.PeerHandler
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.peer.PeerReply

/** Counts the frames that one router sends and receives on its peer links. */
internal class FrameCounter {
    var frames = 0L
        private set
    var bytes = 0L
        private set

    fun add(frameBytes: Int) {
        frames++
        bytes += frameBytes
    }
}

/**
 * Counts frames in the size that `connection/peer` encodes them to and delays those that cross regions.
 *
 * @param delegate messenger of the router on the simulated network.
 * @param linkedRouters routers with an open link; a call dials any other router on demand.
 * @param extraDelayMs one-way delay to a router in addition to that of the network.
 */
internal class CountingMessenger(
    private val delegate: PeerMessenger,
    private val scope: CoroutineScope,
    private val linkedRouters: () -> Set<RouterId>,
    private val extraDelayMs: (RouterId) -> Long,
    private val frameCounters: Map<RouterId, FrameCounter>,
) : PeerMessenger {
    override val self: RouterIdentity get() = delegate.self

    override fun connectedPeers(): List<RouterIdentity> {
        val linked = linkedRouters()
        return if (linked.isEmpty()) emptyList() else delegate.connectedPeers().filter { it.routerId in linked }
    }

    override suspend fun call(
        to: RouterId,
        channel: PeerChannel,
        payload: ByteArray,
        timeoutMs: Long,
    ): PeerReply {
        count(to, messageFrameBytes(channel, payload.size) + CALL_ID_BYTES)
        delay(extraDelayMs(to))
        val reply = delegate.call(to, channel, payload, timeoutMs)
        delay(extraDelayMs(to))
        if (reply is PeerReply.Received) count(to, replyFrameBytes(reply.payload.size))
        return reply
    }

    override fun send(
        to: RouterId,
        channel: PeerChannel,
        payload: ByteArray,
    ): Boolean {
        count(to, messageFrameBytes(channel, payload.size))
        val extraMs = extraDelayMs(to)
        if (extraMs == 0L) return delegate.send(to, channel, payload)
        scope.launch {
            delay(extraMs)
            delegate.send(to, channel, payload)
        }
        return true
    }

    override fun register(
        channel: PeerChannel,
        handler: PeerHandler,
    ) = delegate.register(channel, handler)

    private fun count(
        to: RouterId,
        frameBytes: Int,
    ) {
        frameCounters[self.routerId]?.add(frameBytes)
        frameCounters[to]?.add(frameBytes)
    }
}

// A frame is a 4-byte length and an indefinite-length CBOR body ["m", {"c": channel, "p": payload}]; a call adds the field "i".
private const val MESSAGE_OVERHEAD_BYTES = 14
private const val REPLY_OVERHEAD_BYTES = 16
private const val CALL_ID_BYTES = 5

/** Bytes of a keep-alive frame. */
internal const val KEEP_ALIVE_FRAME_BYTES = 10

internal fun messageFrameBytes(
    channel: PeerChannel,
    payloadBytes: Int,
): Int = MESSAGE_OVERHEAD_BYTES + 1 + channel.value.length + cborHeaderBytes(payloadBytes) + payloadBytes

private fun replyFrameBytes(payloadBytes: Int): Int = REPLY_OVERHEAD_BYTES + cborHeaderBytes(payloadBytes) + payloadBytes

private fun cborHeaderBytes(length: Int): Int =
    when {
        length < 24 -> 1
        length < 256 -> 2
        length < 65_536 -> 3
        else -> 5
    }
