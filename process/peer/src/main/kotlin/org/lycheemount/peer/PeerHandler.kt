package org.lycheemount.peer

import org.lycheemount.common.RouterIdentity

/** Handles messages of one channel. May be called concurrently. */
fun interface PeerHandler {
    /** Handles [payload] from the authenticated peer [from] and returns the answer, if any. */
    suspend fun handle(
        from: RouterIdentity,
        payload: ByteArray,
    ): ByteArray?
}
