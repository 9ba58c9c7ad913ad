package org.lycheemount.common

import com.sun.management.UnixOperatingSystemMXBean
import java.lang.management.ManagementFactory

/**
 * Number of connections that this process may use for callers, and as many for backend servers: half of the file descriptors beyond those
 * that are kept for files.
 */
fun defaultMaxConnections(): Int {
    val system = ManagementFactory.getOperatingSystemMXBean() as? UnixOperatingSystemMXBean ?: return MAX_CONNECTIONS
    return ((system.maxFileDescriptorCount - FILE_DESCRIPTORS) / 2).coerceIn(MIN_CONNECTIONS, MAX_CONNECTIONS.toLong()).toInt()
}

private const val FILE_DESCRIPTORS = 200
private const val MIN_CONNECTIONS = 16L
private const val MAX_CONNECTIONS = 65_536
