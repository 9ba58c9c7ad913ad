package org.lycheemount.scheduling

import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.RequestId
import org.lycheemount.common.ZoneId
import org.lycheemount.config.WorkClass
import kotlin.random.Random

private const val NO_SERVER_RETRY_MS = 1_000L

/** Assigns queued requests to the live backend server with the fewest requests in flight from this router. */
internal class DefaultRequestScheduler(
    private val zoneId: ZoneId,
    seed: Long,
) : RequestScheduler {
    private val random = Random(seed)
    private val queue = LinkedHashMap<RequestId, WorkItem>()
    private val inFlight = HashMap<RequestId, BackendServerId>()
    private var servers: List<BackendServer> = emptyList()

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
        if (isPastDeadline(item, nowMs)) {
            return SubmitOutcome.Refused(Refusal(RefusalReason.DEADLINE_PAST, "the deadline has passed"))
        }
        if (servers.none { accepts(it, item) }) {
            val refusal = Refusal(RefusalReason.NO_BACKEND_SERVER, "no backend server is live", NO_SERVER_RETRY_MS)
            return SubmitOutcome.Refused(refusal)
        }
        queue[item.requestId] = item
        return SubmitOutcome.Queued
    }

    override fun cancel(
        requestId: RequestId,
        nowMs: Long,
    ) {
        queue.remove(requestId)
        inFlight.remove(requestId)
    }

    override fun onServiceEvent(
        requestId: RequestId,
        event: ServiceEvent,
        nowMs: Long,
    ) {
        if (event != ServiceEvent.FirstToken) inFlight.remove(requestId)
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
        val actions = ArrayList<SchedulerAction>()
        val iterator = queue.values.iterator()
        while (iterator.hasNext()) {
            val item = iterator.next()
            val action = decide(item, nowMs) ?: continue
            iterator.remove()
            actions += action
        }
        return actions
    }

    override fun nextWakeUpMs(nowMs: Long): Long? = queue.values.mapNotNull { it.deadlineAtMs }.minOrNull()

    private fun decide(
        item: WorkItem,
        nowMs: Long,
    ): SchedulerAction? {
        if (isPastDeadline(item, nowMs)) {
            return SchedulerAction.Drop(item.requestId, Refusal(RefusalReason.DEADLINE_PAST, "the deadline passed in the queue"))
        }
        val server = servers.filter { accepts(it, item) }.minWithOrNull(choiceOrder()) ?: return null
        inFlight[item.requestId] = server.backendServerId
        return SchedulerAction.Start(item.requestId, server.backendServerId, priority = 0)
    }

    private fun choiceOrder(): Comparator<BackendServer> {
        val counts = inFlight.values.groupingBy { it }.eachCount()
        val ties = servers.associate { it.backendServerId to random.nextInt() }
        return compareBy({ counts[it.backendServerId] ?: 0 }, { it.zoneId != zoneId }, { ties[it.backendServerId] })
    }

    private fun accepts(
        server: BackendServer,
        item: WorkItem,
    ) = !server.leaving && item.target in server.targets && server.backendServerId !in item.excludedServers

    private fun isPastDeadline(
        item: WorkItem,
        nowMs: Long,
    ) = item.deadlineAtMs?.let { it <= nowMs } ?: false
}
