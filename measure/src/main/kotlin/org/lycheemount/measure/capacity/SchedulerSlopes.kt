package org.lycheemount.measure.capacity

import org.lycheemount.common.BackendServerId
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.ModelId
import org.lycheemount.common.RequestId
import org.lycheemount.common.TeamId
import org.lycheemount.common.WorkClassId
import org.lycheemount.common.ZoneId
import org.lycheemount.config.WorkClass
import org.lycheemount.scheduling.CacheEvents
import org.lycheemount.scheduling.LoadReport
import org.lycheemount.scheduling.RequestScheduler
import org.lycheemount.scheduling.SchedulerAction
import org.lycheemount.scheduling.ServiceEvent
import org.lycheemount.scheduling.SubmitOutcome
import org.lycheemount.scheduling.WorkItem
import org.lycheemount.scheduling.createRequestScheduler

private val serverCounts = listOf(480, 1_200, 3_000, 12_000)
private val queuedCounts = listOf(500, 2_000, 4_000)
private val blockCounts = listOf(2_000, 4_000, 8_000, 16_000)
private const val INDEXED_SERVERS = 20
private const val REQUESTS = 1_500
private const val REQUESTS_IN_LARGE_FLEETS = 150
private const val REPORTS = 20_000
private const val PROMPT_BLOCKS = 16
private const val HOUR_MS = 3_600_000L
private val delayTolerantClass = WorkClass(WorkClassId("delayTolerant"), HOUR_MS, HOUR_MS, mustFinish = true)

internal fun schedulerSlopes(): List<Pair<String, Any>> =
    measureSlope("backend_server", "bytes", serverCounts) { servers -> retainedBytes { schedulerOf(servers) } } +
        measureSlope("request_by_servers", "cpu_ns", serverCounts) { servers -> requestNanos(servers) } +
        measureSlope("load_report_by_servers", "cpu_ns", serverCounts) { servers -> reportNanos(servers) } +
        measureSlope("queued_request", "bytes", queuedCounts) { requests -> retainedBytes { schedulerWithQueue(requests) } } +
        measureSlope("prefix_entry_in_20_indexes", "bytes", blockCounts) { blocks ->
            retainedBytes { schedulerWithPrefixIndexes(blocks) } / INDEXED_SERVERS
        }

private fun schedulerOf(servers: Int): RequestScheduler {
    val scheduler = createRequestScheduler(ZoneId("zone-0"), seed = 7)
    scheduler.onWorkClasses(listOf(delayTolerantClass))
    scheduler.onBackendServers(serversOf(servers), nowMs = 0)
    return scheduler
}

private fun workItem(
    number: Int,
    nowMs: Long,
) = WorkItem(
    requestId = RequestId("request-$number"),
    teamId = TeamId("team-${number % 50}"),
    workClassId = delayTolerantClass.workClassId,
    target = BackendTarget.Model(ModelId("model-0")),
    promptTokens = 16 * PROMPT_BLOCKS,
    maxOutputTokens = 300,
    prefixHashes = List(PROMPT_BLOCKS) { (number % 200) * 1_000L + it },
    arrivedAtMs = nowMs,
)

private fun requestNanos(servers: Int): Double {
    val scheduler = schedulerOf(servers)
    var ended = 0
    val nanos =
        cpuNanosPerOperation(if (servers > 2_000) REQUESTS_IN_LARGE_FLEETS else REQUESTS) { number ->
            val nowMs = number * 12L
            scheduler.submit(workItem(number, nowMs), nowMs)
            for (action in scheduler.poll(nowMs)) {
                if (action !is SchedulerAction.Start) continue
                scheduler.onServiceEvent(action.requestId, ServiceEvent.FirstToken, nowMs + 1)
                scheduler.onServiceEvent(action.requestId, ServiceEvent.Completed(outputTokens = 300), nowMs + 2)
                ended++
            }
        }
    check(ended > 0) { "no request was started with $servers servers" }
    return nanos
}

private fun reportNanos(servers: Int): Double {
    val scheduler = schedulerOf(servers)
    return cpuNanosPerOperation(REPORTS) { number ->
        scheduler.onLoadReport(LoadReport(BackendServerId("server-${number % servers}"), 200, 3, 1, 32), number.toLong())
    }
}

private fun schedulerWithQueue(requests: Int): RequestScheduler {
    val scheduler = schedulerOf(servers = 250)
    for (number in 0 until requests) {
        check(scheduler.submit(workItem(number, 0), 0) == SubmitOutcome.Queued) { "request $number was not queued" }
    }
    return scheduler
}

private fun schedulerWithPrefixIndexes(blocks: Int): RequestScheduler {
    val scheduler = schedulerOf(INDEXED_SERVERS)
    for (server in 0 until INDEXED_SERVERS) {
        val hashes = List(blocks) { server * 1_000_000_007L + it }
        scheduler.onCacheEvents(CacheEvents(BackendServerId("server-$server"), hashes, emptyList(), hasGap = false), nowMs = 0)
    }
    return scheduler
}
