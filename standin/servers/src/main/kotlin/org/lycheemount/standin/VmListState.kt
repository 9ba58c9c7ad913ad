package org.lycheemount.standin

import org.lycheemount.common.Clock
import org.lycheemount.common.VmId
import org.lycheemount.platform.VmList

/** The VM list with its past, so that it can be answered late. Thread-safe. */
class VmListState(
    initial: VmList,
    private val clock: Clock,
) {
    private class Version(
        val sinceMs: Long,
        val list: VmList,
    )

    private val versions = ArrayDeque(listOf(Version(Long.MIN_VALUE, initial)))

    /** Returns the list as it was [lagMs] ago, stamped with the present table time. */
    @Synchronized
    fun list(lagMs: Long): VmList {
        val atMs = clock.monotonicMs() - lagMs
        return versions.last { it.sinceMs <= atMs }.list.copy(asOfTableTimeMs = clock.wallClockMs())
    }

    /** Changes the list. */
    @Synchronized
    fun change(edit: (VmList) -> VmList) {
        versions.addLast(Version(clock.monotonicMs(), edit(versions.last().list)))
        if (versions.size > MAX_VERSIONS) versions.removeFirst()
    }

    /** Takes [vmId] off the list. */
    fun remove(vmId: VmId) =
        change { list ->
            list.copy(
                routers = list.routers.filterNot { it.vmId == vmId },
                backendServers = list.backendServers.filterNot { it.vmId == vmId },
            )
        }

    /** Marks [vmId] as leaving. */
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
