package org.lycheemount.peer

import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity

/** Exchanges messages between routers over authenticated links. Each feature encodes its own payload as CBOR. */
interface PeerMessenger {
    /** Identity of this process. */
    val self: RouterIdentity

    /** Routers with an open, authenticated link. */
    fun connectedPeers(): List<RouterIdentity>

    /** Sends [payload] and waits up to [timeoutMs] for the reply. */
    suspend fun call(
        to: RouterId,
        channel: PeerChannel,
        payload: ByteArray,
        timeoutMs: Long,
    ): PeerReply

    /** Sends [payload] without waiting for a reply. Returns false when no link is open. Delivery is not guaranteed. */
    fun send(
        to: RouterId,
        channel: PeerChannel,
        payload: ByteArray,
    ): Boolean

    /** Registers the only handler of [channel]. Its result is the reply to a call; null sends none. */
    fun register(
        channel: PeerChannel,
        handler: PeerHandler,
    )
}
