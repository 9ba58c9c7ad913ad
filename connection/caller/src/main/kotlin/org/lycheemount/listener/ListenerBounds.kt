package org.lycheemount.listener

import com.sun.management.UnixOperatingSystemMXBean
import java.lang.management.ManagementFactory

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

/** Half of the file descriptors of this process beyond those that are kept for files. The other half is for connections to servers. */
private fun defaultMaxConnections(): Int {
    val system = ManagementFactory.getOperatingSystemMXBean() as? UnixOperatingSystemMXBean ?: return MAX_CONNECTIONS
    return ((system.maxFileDescriptorCount - FILE_DESCRIPTORS) / 2).coerceIn(MIN_CONNECTIONS, MAX_CONNECTIONS.toLong()).toInt()
}

private const val FILE_DESCRIPTORS = 200
private const val MIN_CONNECTIONS = 16L
private const val MAX_CONNECTIONS = 65_536
