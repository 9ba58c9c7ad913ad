package org.lycheemount.scheduling

import org.lycheemount.common.SoftwareVersion

/**
 * The available servers of one target that requests with the same allowed versions choose from.
 *
 * @property servers all servers of the pool.
 * @property openServers those of [servers] that have no request limit, or all of them if each has one.
 * @property preferredServers preferred servers among [openServers].
 */
internal class ServerPool(
    val servers: List<ServerState>,
    delayTolerantShare: Double,
) {
    val openServers: List<ServerState> = servers.filterNot { it.requestLimit.isLimited }.ifEmpty { servers }
    val preferredServers = PreferredServers(openServers, delayTolerantShare)
}

/** The [available] servers of one target, divided by the versions that requests allow. */
internal class ServerPools(
    private val available: List<ServerState>,
    private val delayTolerantShare: Double,
) {
    private val pools = HashMap<Set<SoftwareVersion>?, ServerPool>()

    /** Returns the servers that have one of the [versions]; all of them if null. */
    fun poolOf(versions: Set<SoftwareVersion>?): ServerPool =
        pools.getOrPut(versions) { ServerPool(available.filter { it.server.hasAllowedVersion(versions) }, delayTolerantShare) }
}
