package org.lycheemount.membership

import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.VmId
import org.lycheemount.platform.RouterVm
import org.lycheemount.platform.VmList

/** Evidence about the other routers. Pure: times are passed in, in monotonic milliseconds. Not safe for concurrent use. */
class MembershipTable(
    private val self: RouterIdentity,
    private val settings: MembershipSettings = MembershipSettings(),
) {
    private val records = linkedMapOf<VmId, MemberRecord>()
    private var latestListTimeMs = Long.MIN_VALUE

    /** Takes a new list; one that is older than the last taken is ignored. */
    fun onVmList(
        list: VmList,
        nowMs: Long,
    ) {
        if (list.asOfTableTimeMs < latestListTimeMs) return
        latestListTimeMs = list.asOfTableTimeMs
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

    /** Notes an authenticated message; one of an incarnation older than already heard changes nothing and returns false. */
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

    /** Returns what is known of the very process [identity]; an earlier incarnation of a VM is [Evidence.REPLACED]. */
    fun evidence(
        identity: RouterIdentity,
        nowMs: Long,
    ): Evidence {
        val record = records[identity.vmId] ?: return if (hasNewerIncarnation(identity)) Evidence.REPLACED else Evidence.SILENT
        val lastIdentity = record.identity
        if (lastIdentity != null && lastIdentity.incarnation > identity.incarnation) return Evidence.REPLACED
        return record.evidence(nowMs)
    }

    /** Returns what is known of the VM [vmId], or null when it has never been listed or heard. */
    fun evidence(
        vmId: VmId,
        nowMs: Long,
    ): Evidence? = records[vmId]?.evidence(nowMs)

    /** Returns all VMs known, those gone included. */
    fun members(nowMs: Long): List<Member> =
        records.values.map { Member(it.vm, it.identity, it.evidence(nowMs), it.lastMessageAtMs?.let { atMs -> nowMs - atMs }) }

    /** Returns the members whose evidence is sufficient for [use]. */
    fun membersFor(
        use: EvidenceUse,
        nowMs: Long,
    ): List<Member> = members(nowMs).filter { it.evidence in use.acceptedEvidence }

    private fun hasNewerIncarnation(identity: RouterIdentity) =
        records.values.any { it.routerId == identity.routerId && (it.identity?.incarnation ?: Long.MIN_VALUE) > identity.incarnation }

    /** A VM that the list shows for the first time takes over its address and its router id from the earlier holder. */
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
