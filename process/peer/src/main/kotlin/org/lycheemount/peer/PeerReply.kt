package org.lycheemount.peer

/** Outcome of a call to a peer. */
sealed interface PeerReply {
    /** The peer's handler answered with [payload]. */
    class Answered(
        val payload: ByteArray,
    ) : PeerReply

    /** The message was never sent. */
    data object NotDelivered : PeerReply

    /** The message may have been handled, but no answer came in time. */
    data object Unknown : PeerReply
}
