package org.lycheemount.listener

import org.lycheemount.common.defaultMaxConnections

/**
 * Bounds of a listener, which are fixed while it is open.
 *
 * @property maxConnections maximum number of open connections. At the bound, a new connection replaces the one that has been without a
 *   request for the longest time, or one whose caller stalls its request.
 * @property receiveBufferBytes size of the receive buffer of a connection, of which Linux allocates twice as much. What the kernel has
 *   received counts as memory of the process, and a size of its own choice grows to megabytes.
 * @property sendBufferBytes size of the send buffer of a connection, of which Linux allocates twice as much. It holds what has been sent
 *   and the caller has not read.
 * @property threads number of threads that serve connections; null for as many as suit the processors.
 */
data class ListenerBounds(
    val maxConnections: Int = defaultMaxConnections(),
    val receiveBufferBytes: Int = 16_384,
    val sendBufferBytes: Int = 65_536,
    val threads: Int? = null,
)
