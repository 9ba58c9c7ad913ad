package org.lycheemount.peer

/** Outcome of a call to a peer. */
sealed interface PeerReply {
    /** The handler of the peer replied with [payload]. */
    class Received(
        val payload: ByteArray,
    ) : PeerReply

    /** The message was never sent. */
    data object NotDelivered : PeerReply

    /** The peer may have handled the message, but no reply arrived in time. */
    data object Unknown : PeerReply
}
