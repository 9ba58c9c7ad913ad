package org.lycheemount.budget

import org.lycheemount.common.VmId
import org.lycheemount.platform.VmList

/**
 * Remembers since which table time each router VM is known to be gone. The list lags, so a VM that was never listed may be a new one:
 * only a VM that was listed before and is missing now is gone.
 */
internal class VmEvidence {
    private val listed = HashSet<VmId>()
    private val goneAtTableTimeMs = LinkedHashMap<VmId, Long>()

    /** Takes in [list] and returns the VMs that it shows as gone for the first time. */
    fun update(list: VmList): Set<VmId> {
        val present = list.routers.mapTo(HashSet()) { it.vmId }
        val gone = listed - present
        for (vmId in gone) goneAtTableTimeMs.putIfAbsent(vmId, list.asOfTableTimeMs)
        listed.clear()
        listed += present
        while (goneAtTableTimeMs.size > MAX_GONE_VMS) goneAtTableTimeMs.remove(goneAtTableTimeMs.keys.first())
        return gone
    }

    /**
     * Notes the absence of [vmId] from [list], which was answered after the VM was known to have been listed.
     */
    fun recordAbsence(
        vmId: VmId,
        list: VmList,
    ) {
        if (list.routers.none { it.vmId == vmId }) goneAtTableTimeMs.putIfAbsent(vmId, list.asOfTableTimeMs)
    }

    /** Table time at which [vmId] was gone for certain, or null when it may exist. */
    fun goneAt(vmId: VmId): Long? = goneAtTableTimeMs[vmId]

    private companion object {
        private const val MAX_GONE_VMS = 10_000
    }
}
