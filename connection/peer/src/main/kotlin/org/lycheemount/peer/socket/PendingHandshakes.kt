package org.lycheemount.peer.socket

/**
 * Inbound connections that have not authenticated yet. Thread-safe.
 *
 * @param maxCount number of connections beyond which the one without progress for the longest time is closed. If new ones were refused
 *   instead, connections that send nothing would keep other routers out until the handshake timeout.
 */
internal class PendingHandshakes(
    private val maxCount: Int,
) {
    /** In the order of their last progress. */
    private val connections = LinkedHashSet<AutoCloseable>()

    /** Adds [connection], in whose place another one may be closed. */
    fun add(connection: AutoCloseable) {
        val replaced =
            synchronized(this) {
                connections += connection
                if (connections.size > maxCount) connections.first().also { connections -= it } else null
            }
        replaced?.close()
    }

    /** Records that [connection] has sent a valid message. */
    @Synchronized
    fun onProgress(connection: AutoCloseable) {
        if (connections.remove(connection)) connections += connection
    }

    /** Removes [connection], which has authenticated or failed to. */
    @Synchronized
    fun remove(connection: AutoCloseable) {
        connections -= connection
    }
}
