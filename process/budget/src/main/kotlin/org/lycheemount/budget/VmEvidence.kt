package org.lycheemount.budget

import org.lycheemount.common.VmId
import org.lycheemount.platform.VmList

/**
 * Records the table time as of which each router VM is known to be gone. Because the VM list lags, a VM that was never listed may be
 * new; only a VM that was listed before and is now missing counts as gone.
 */
internal class VmEvidence {
    private val listed = HashSet<VmId>()
    private val goneAtTableTimeMs = LinkedHashMap<VmId, Long>()

    /** Updates the evidence from [list] and returns the VMs that are newly gone. */
    fun update(list: VmList): Set<VmId> {
        val present = list.routers.mapTo(HashSet()) { it.vmId }
        val gone = listed - present
        for (vmId in gone) goneAtTableTimeMs.putIfAbsent(vmId, list.asOfTableTimeMs)
        listed.clear()
        listed += present
        while (goneAtTableTimeMs.size > MAX_GONE_VMS) goneAtTableTimeMs.remove(goneAtTableTimeMs.keys.first())
        return gone
    }

    /** Marks [vmId] as gone if it is missing from [list]. The VM must have been listed before [list] was read. */
    fun recordAbsence(
        vmId: VmId,
        list: VmList,
    ) {
        if (list.routers.none { it.vmId == vmId }) goneAtTableTimeMs.putIfAbsent(vmId, list.asOfTableTimeMs)
    }

    /** Returns the table time as of which [vmId] is known to be gone, or null when it may exist. */
    fun goneAt(vmId: VmId): Long? = goneAtTableTimeMs[vmId]

    private companion object {
        private const val MAX_GONE_VMS = 10_000
    }
}
