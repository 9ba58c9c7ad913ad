package org.lycheemount.membership

import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.VmId
import org.lycheemount.platform.RouterVm
import org.lycheemount.platform.StoreEra
import org.lycheemount.platform.VmList

/** Evidence about the other routers. Performs no I/O; callers pass monotonic times in milliseconds. Not safe for concurrent use. */
class MembershipTable(
    private val self: RouterIdentity,
    private val settings: MembershipSettings = MembershipSettings(),
) {
    private val records = linkedMapOf<VmId, MemberRecord>()
    private var latestListTimeMs = Long.MIN_VALUE
    private var latestListEra: StoreEra? = null

    /** Applies a VM list; ignores one that is older than the last applied list of the same era of the store. */
    fun onVmList(
        list: VmList,
        nowMs: Long,
    ) {
        if (list.storeEra == latestListEra && list.asOfTableTimeMs < latestListTimeMs) return
        latestListTimeMs = list.asOfTableTimeMs
        latestListEra = list.storeEra
        val others = list.routers.filter { it.vmId != self.vmId }
        for (vm in others) {
            val record = records.getOrPut(vm.vmId) { MemberRecord() }
            if (record.goneAtMs != null) continue
            if (record.vm == null) markSuperseded(vm)
            record.vm = vm
        }
        val listedVmIds = others.mapTo(mutableSetOf()) { it.vmId }
        for ((vmId, record) in records) {
            if (record.vm != null && vmId !in listedVmIds && record.goneAtMs == null) record.goneAtMs = nowMs
        }
        records.values.removeIf { record -> record.goneAtMs.let { it != null && nowMs - it > settings.tombstoneRetentionMs } }
    }

    /** Records an authenticated message. Ignores one from an outdated incarnation or from this VM, and returns false. */
    fun onMessage(
        from: RouterIdentity,
        nowMs: Long,
    ): Boolean {
        if (from.vmId == self.vmId) return false
        val newestIncarnation =
            records.values
                .filter { it.routerId == from.routerId }
                .mapNotNull { it.identity?.incarnation }
                .maxOrNull()
        if (newestIncarnation != null && from.incarnation < newestIncarnation) return false
        val record = records.getOrPut(from.vmId) { MemberRecord() }
        records.values.filter { it !== record && it.routerId == from.routerId }.forEach { it.isReplaced = true }
        record.identity = from
        record.isReplaced = false
        record.lastMessageAtMs = nowMs
        return true
    }

    /** Returns the evidence about the process [identity]; an outdated incarnation is [Evidence.REPLACED]. */
    fun evidence(
        identity: RouterIdentity,
        nowMs: Long,
    ): Evidence {
        val record = records[identity.vmId] ?: return if (hasNewerIncarnation(identity)) Evidence.REPLACED else Evidence.SILENT
        val lastIdentity = record.identity
        if (lastIdentity != null && lastIdentity.incarnation > identity.incarnation) return Evidence.REPLACED
        return record.evidence(nowMs)
    }

    /** Returns the evidence about the VM [vmId], or null when it was never listed and never sent a message. */
    fun evidence(
        vmId: VmId,
        nowMs: Long,
    ): Evidence? = records[vmId]?.evidence(nowMs)

    /** Returns all known VMs, including those that are gone. */
    fun members(nowMs: Long): List<Member> =
        records.values.map { Member(it.vm, it.identity, it.evidence(nowMs), it.lastMessageAtMs?.let { atMs -> nowMs - atMs }) }

    /** Returns the members whose evidence is sufficient for [use]. */
    fun membersFor(
        use: EvidenceUse,
        nowMs: Long,
    ): List<Member> = members(nowMs).filter { it.evidence in use.acceptedEvidence }

    private fun hasNewerIncarnation(identity: RouterIdentity) =
        records.values.any { it.routerId == identity.routerId && (it.identity?.incarnation ?: Long.MIN_VALUE) > identity.incarnation }

    /** Marks records as replaced whose address or router id [vm], which is listed for the first time, has taken over. */
    private fun markSuperseded(vm: RouterVm) {
        for (record in records.values) {
            val earlier = record.vm ?: continue
            val sameAddress = vm.peerPort != 0 && earlier.host == vm.host && earlier.peerPort == vm.peerPort
            if (sameAddress || earlier.routerId == vm.routerId) record.isReplaced = true
        }
    }

    private inner class MemberRecord {
        var vm: RouterVm? = null
        var identity: RouterIdentity? = null
        var lastMessageAtMs: Long? = null
        var goneAtMs: Long? = null
        var isReplaced = false

        val routerId: RouterId? get() = identity?.routerId ?: vm?.routerId

        fun evidence(nowMs: Long): Evidence {
            val hasRecentMessage = lastMessageAtMs.let { it != null && nowMs - it <= settings.heartbeatTimeoutMs }
            return when {
                goneAtMs != null -> Evidence.GONE
                isReplaced -> Evidence.REPLACED
                vm?.leaving == true -> Evidence.LEAVING
                hasRecentMessage -> Evidence.HEARD_RECENTLY
                else -> Evidence.SILENT
            }
        }
    }
}
