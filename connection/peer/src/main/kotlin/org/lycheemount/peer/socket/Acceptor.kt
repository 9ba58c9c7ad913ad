package org.lycheemount.peer.socket

import kotlinx.coroutines.delay
import org.lycheemount.common.EventLog
import java.io.IOException
import java.nio.channels.ClosedChannelException

/**
 * Passes the connections that [accept] returns to [onAccepted], until it is cancelled or the listener is closed. Tries again if a
 * connection cannot be accepted, for example for lack of file descriptors.
 */
internal suspend fun <C> acceptAll(
    log: EventLog,
    accept: suspend () -> C,
    onAccepted: (C) -> Unit,
): Nothing {
    while (true) {
        val connection =
            try {
                accept()
            } catch (closed: ClosedChannelException) {
                throw closed
            } catch (failure: IOException) {
                log.warn("peer_link_not_accepted", "error" to failure.message)
                delay(RETRY_DELAY_MS)
                continue
            }
        onAccepted(connection)
    }
}

private const val RETRY_DELAY_MS = 100L
