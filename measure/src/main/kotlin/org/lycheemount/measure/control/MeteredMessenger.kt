package org.lycheemount.measure.control

import org.lycheemount.common.RouterId
import org.lycheemount.peer.PeerChannel
import org.lycheemount.peer.PeerHandler
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.peer.PeerReply

/** Counts the bytes that one router would put on the network for its messages and answers. */
internal class MeteredMessenger(
    private val inner: PeerMessenger,
) : PeerMessenger by inner {
    var sentBytes = 0L
        private set

    override suspend fun call(
        to: RouterId,
        channel: PeerChannel,
        payload: ByteArray,
        timeoutMs: Long,
    ): PeerReply {
        count(channel, payload.size)
        return inner.call(to, channel, payload, timeoutMs)
    }

    override fun send(
        to: RouterId,
        channel: PeerChannel,
        payload: ByteArray,
    ): Boolean {
        count(channel, payload.size)
        return inner.send(to, channel, payload)
    }

    override fun register(
        channel: PeerChannel,
        handler: PeerHandler,
    ) = inner.register(channel) { from, payload ->
        handler.handle(from, payload)?.also { count(channel, it.size) }
    }

    private fun count(
        channel: PeerChannel,
        payloadBytes: Int,
    ) {
        sentBytes += payloadBytes + channel.value.length + FRAME_BYTES + PACKET_BYTES
    }

    private companion object {
        // Length prefix, CBOR envelope and call id.
        private const val FRAME_BYTES = 20

        // IPv4 and TCP headers with timestamps; acknowledgements without data are taken as carried by other packets.
        private const val PACKET_BYTES = 52
    }
}
