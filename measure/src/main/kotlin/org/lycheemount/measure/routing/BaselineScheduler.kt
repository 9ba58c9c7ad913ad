package org.lycheemount.measure.routing

import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.RequestId
import org.lycheemount.config.WorkClass
import org.lycheemount.scheduling.CacheEvents
import org.lycheemount.scheduling.LoadReport
import org.lycheemount.scheduling.RequestScheduler
import org.lycheemount.scheduling.SchedulerAction
import org.lycheemount.scheduling.ServiceEvent
import org.lycheemount.scheduling.SubmitOutcome
import org.lycheemount.scheduling.WorkItem

/** How a baseline selects servers. */
internal enum class BaselineStrategy {
    ROUND_ROBIN,
    LEAST_IN_FLIGHT,
}

/** Sends each request at once to an available server: round robin, or the one with the fewest requests in flight from this router. */
internal class BaselineScheduler(
    private val strategy: BaselineStrategy,
    initialOffset: Int,
) : RequestScheduler {
    private val queue = LinkedHashMap<RequestId, WorkItem>()
    private val inFlight = HashMap<RequestId, BackendServerId>()
    private val inFlightCounts = HashMap<BackendServerId, Int>()
    private var servers: List<BackendServer> = emptyList()
    private var serverOffset = initialOffset

    override fun onWorkClasses(workClasses: Collection<WorkClass>) = Unit

    override fun onBackendServers(
        servers: List<BackendServer>,
        nowMs: Long,
    ) {
        this.servers = servers.filterNot { it.leaving }
    }

    override fun submit(
        item: WorkItem,
        nowMs: Long,
    ): SubmitOutcome {
        if (eligibleServers(item).isEmpty()) return SubmitOutcome.Refused(Refusal(RefusalReason.NO_BACKEND_SERVER, "no server"))
        queue[item.requestId] = item
        return SubmitOutcome.Queued
    }

    override fun cancel(
        requestId: RequestId,
        nowMs: Long,
    ) {
        queue.remove(requestId)
        release(requestId)
    }

    override fun onServiceEvent(
        requestId: RequestId,
        event: ServiceEvent,
        nowMs: Long,
    ) {
        if (event != ServiceEvent.FirstToken) release(requestId)
    }

    override fun onLoadReport(
        report: LoadReport,
        nowMs: Long,
    ) = Unit

    override fun onCacheEvents(
        events: CacheEvents,
        nowMs: Long,
    ) = Unit

    override fun poll(nowMs: Long): List<SchedulerAction> {
        val actions = queue.values.map { start(it) }
        queue.clear()
        return actions
    }

    override fun nextWakeUpMs(nowMs: Long): Long? = null

    private fun start(item: WorkItem): SchedulerAction {
        val eligible = eligibleServers(item)
        serverOffset++
        val server =
            when (strategy) {
                BaselineStrategy.ROUND_ROBIN -> eligible[serverOffset % eligible.size]
                BaselineStrategy.LEAST_IN_FLIGHT ->
                    eligible.indices
                        .map { eligible[(it + serverOffset) % eligible.size] }
                        .minBy { inFlightCounts[it.backendServerId] ?: 0 }
            }
        inFlight[item.requestId] = server.backendServerId
        inFlightCounts.merge(server.backendServerId, 1, Int::plus)
        return SchedulerAction.Start(item.requestId, server.backendServerId, priority = 0)
    }

    private fun release(requestId: RequestId) {
        inFlight.remove(requestId)?.let { inFlightCounts.merge(it, -1, Int::plus) }
    }

    private fun eligibleServers(item: WorkItem) =
        servers.filter { item.target in it.targets && it.backendServerId !in item.excludedServers }
}
