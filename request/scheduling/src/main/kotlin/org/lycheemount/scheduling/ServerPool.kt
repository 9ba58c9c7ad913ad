package org.lycheemount.scheduling

import org.lycheemount.common.SoftwareVersion

/**
 * The available servers of one target that requests with the same allowed versions choose from.
 */
internal class ServerPool(
    private val servers: List<ServerState>,
    delayTolerantShare: Double,
    private val nowMs: Long,
) {
    private val staying = servers.filterNot { it.isLeaving(nowMs) }.ifEmpty { servers }

    /** Servers of the pool that do not leave and have no limit, or the best there are. */
    val openServers: List<ServerState> = staying.filterNot { it.requestLimit.isLimited || it.coldLimit.isLimited }.ifEmpty { staying }

    /** Preferred servers among [openServers]. */
    val preferredServers = PreferredServers(openServers, delayTolerantShare)

    /** Returns the servers to which [item] may go. */
    fun serversFor(item: WorkItem): List<ServerState> =
        if (staying.size == servers.size) servers else servers.openServers(nowMs) { item.allows(it.server) }
}

/** The [available] servers of one target, divided by the versions that requests allow. */
internal class ServerPools(
    private val available: List<ServerState>,
    private val delayTolerantShare: Double,
    private val nowMs: Long,
) {
    private val pools = HashMap<Set<SoftwareVersion>?, ServerPool>()

    /** Returns the servers that have one of the [versions]; all of them if null. */
    fun poolOf(versions: Set<SoftwareVersion>?): ServerPool =
        pools.getOrPut(versions) { ServerPool(available.filter { it.server.hasAllowedVersion(versions) }, delayTolerantShare, nowMs) }
}
