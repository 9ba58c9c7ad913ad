package org.lycheemount.standin

import org.lycheemount.common.Clock
import org.lycheemount.common.VmId
import org.lycheemount.platform.VmList

/** VM list with its history, so that reads can return an outdated version. Thread-safe. */
class VmListState(
    initial: VmList,
    private val clock: Clock,
) {
    private class Version(
        val sinceMs: Long,
        val list: VmList,
    )

    private val versions = ArrayDeque(listOf(Version(Long.MIN_VALUE, initial)))

    /** Returns the list as it was [lagMs] ago, with the current table time as its timestamp. */
    @Synchronized
    fun list(lagMs: Long): VmList {
        val atMs = clock.monotonicMs() - lagMs
        return versions.last { it.sinceMs <= atMs }.list.copy(asOfTableTimeMs = clock.wallClockMs())
    }

    /** Replaces the list with the result of [edit]. */
    @Synchronized
    fun change(edit: (VmList) -> VmList) {
        versions.addLast(Version(clock.monotonicMs(), edit(versions.last().list)))
        if (versions.size > MAX_VERSIONS) versions.removeFirst()
    }

    /** Removes the router and backend servers of [vmId] from the list. */
    fun remove(vmId: VmId) =
        change { list ->
            list.copy(
                routers = list.routers.filterNot { it.vmId == vmId },
                backendServers = list.backendServers.filterNot { it.vmId == vmId },
            )
        }

    /** Marks the router and backend servers of [vmId] as leaving. */
    fun markLeaving(vmId: VmId) =
        change { list ->
            list.copy(
                routers = list.routers.map { if (it.vmId == vmId) it.copy(leaving = true) else it },
                backendServers = list.backendServers.map { if (it.vmId == vmId) it.copy(leaving = true) else it },
            )
        }

    private companion object {
        private const val MAX_VERSIONS = 10_000
    }
}
