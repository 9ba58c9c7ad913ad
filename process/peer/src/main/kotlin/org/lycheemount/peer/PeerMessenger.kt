package org.lycheemount.peer

import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity

/** Sends messages between routers over authenticated links. Each feature encodes its own payload with CBOR. */
interface PeerMessenger {
    /** Identity of this process. */
    val self: RouterIdentity

    /** Routers with an open, authenticated link. */
    fun connectedPeers(): List<RouterIdentity>

    /** Sends [payload] and waits for the answer for at most [timeoutMs]. */
    suspend fun call(
        to: RouterId,
        channel: PeerChannel,
        payload: ByteArray,
        timeoutMs: Long,
    ): PeerReply

    /** Sends [payload] without an answer; returns false when no link is open. Delivery is not certain. */
    fun send(
        to: RouterId,
        channel: PeerChannel,
        payload: ByteArray,
    ): Boolean

    /** Registers the only handler of [channel]. The handler's result is the answer to a call; null answers nothing. */
    fun register(
        channel: PeerChannel,
        handler: PeerHandler,
    )
}
