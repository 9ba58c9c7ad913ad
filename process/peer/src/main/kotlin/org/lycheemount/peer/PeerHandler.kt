package org.lycheemount.peer

import org.lycheemount.common.RouterIdentity

/** Handler of the messages of one channel. Called concurrently. */
fun interface PeerHandler {
    /** Handles [payload] from the authenticated peer [from]. Returns the reply, or null to send none. */
    suspend fun handle(
        from: RouterIdentity,
        payload: ByteArray,
    ): ByteArray?
}
