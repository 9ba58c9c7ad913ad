package org.lycheemount.caller

import org.lycheemount.common.BackendServer
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.RequestId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.config.WorkClass
import org.lycheemount.scheduling.CacheEvents
import org.lycheemount.scheduling.LeavingStatement
import org.lycheemount.scheduling.LoadReport
import org.lycheemount.scheduling.PauseStatement
import org.lycheemount.scheduling.RequestScheduler
import org.lycheemount.scheduling.SchedulerAction
import org.lycheemount.scheduling.ServiceEvent
import org.lycheemount.scheduling.SubmitOutcome
import org.lycheemount.scheduling.WorkItem

/** Starts each request at once on the first server that serves its target, unless [isPaused]. */
internal class FakeScheduler : RequestScheduler {
    private var servers = emptyList<BackendServer>()
    private val queued = mutableListOf<WorkItem>()
    private var leavingRuns = emptySet<VmId>()
    private var evacuatedZones = emptySet<ZoneId>()
    private val pauseEndsMs = HashMap<VmId, Long>()

    /** While true, requests remain queued. */
    @Volatile
    var isPaused = false

    override fun onWorkClasses(workClasses: Collection<WorkClass>) = Unit

    override fun onBackendServers(
        servers: List<BackendServer>,
        nowMs: Long,
    ) {
        this.servers = servers
    }

    override fun submit(
        item: WorkItem,
        nowMs: Long,
    ): SubmitOutcome {
        if (find(item, nowMs) == null) return SubmitOutcome.Refused(Refusal(RefusalReason.NO_BACKEND_SERVER, "no server"))
        queued += item
        return SubmitOutcome.Queued
    }

    override fun cancel(
        requestId: RequestId,
        nowMs: Long,
    ) {
        queued.removeIf { it.requestId == requestId }
    }

    override fun onServiceEvent(
        requestId: RequestId,
        event: ServiceEvent,
        nowMs: Long,
    ) = Unit

    override fun onLoadReport(
        report: LoadReport,
        nowMs: Long,
    ) = Unit

    override fun onLeaving(
        statement: LeavingStatement,
        nowMs: Long,
    ) {
        leavingRuns = if (statement.isLeaving) leavingRuns + statement.vmId else leavingRuns - statement.vmId
    }

    override fun onPause(
        statement: PauseStatement,
        nowMs: Long,
    ) {
        pauseEndsMs[statement.vmId] = statement.endsAtMs
    }

    override fun onEvacuatedZones(
        zones: Set<ZoneId>,
        nowMs: Long,
    ) {
        evacuatedZones = zones
    }

    override fun onCacheEvents(
        events: CacheEvents,
        nowMs: Long,
    ) = Unit

    override fun poll(nowMs: Long): List<SchedulerAction> {
        if (isPaused) return emptyList()
        val started = queued.map { SchedulerAction.Start(it.requestId, checkNotNull(find(it, nowMs)).backendServerId, priority = 0) }
        queued.clear()
        return started
    }

    override fun nextWakeUpMs(nowMs: Long): Long? = null

    private fun find(
        item: WorkItem,
        nowMs: Long,
    ) = servers.firstOrNull {
        !it.leaving && it.vmId !in leavingRuns && it.zoneId !in evacuatedZones &&
            nowMs >= pauseEndsMs.getOrDefault(it.vmId, nowMs) && item.allows(it)
    }
}
