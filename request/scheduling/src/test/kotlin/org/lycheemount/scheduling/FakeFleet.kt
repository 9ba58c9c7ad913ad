package org.lycheemount.scheduling

import org.lycheemount.common.BackendServerId
import org.lycheemount.common.RequestId
import org.lycheemount.common.SoftwareVersion

private const val TICK_MS = 10L
private const val REPORT_INTERVAL_MS = 200L
private const val DECODE_SHARE = 0.8
private const val OUTPUT_TOKENS = 10

/** Simulated servers with a few slots and a fixed service time, driven by one scheduler in virtual time. */
internal class FakeFleet(
    serverCount: Int,
    private val slots: Int = 4,
    private val serviceMs: Long = 400,
    private val attemptTimeoutMs: Long = 5_000,
    versionOf: (Int) -> SoftwareVersion = { SoftwareVersion.UNSTATED },
) {
    private class Running(
        val requestId: RequestId,
        val serverId: BackendServerId,
        val startedAtMs: Long,
        var remainingServiceMs: Double,
        var hasFirstToken: Boolean = false,
    )

    val servers = (0 until serverCount).map { server(it, version = versionOf(it)) }
    val scheduler = scheduler(servers)
    private val running = ArrayList<Running>()
    val startedOn = HashMap<BackendServerId, Int>()
    val finishedAtMs = HashMap<RequestId, Long>()
    val refused = HashMap<RequestId, Long>()
    val failed = ArrayList<RequestId>()

    /** Speed of each server relative to the normal one; 0 hangs. Servers in [failing] refuse connections. */
    val speedFactors = HashMap<BackendServerId, Double>()
    val failing = HashSet<BackendServerId>()
    var nowMs = 0L
        private set

    fun submit(item: WorkItem) {
        if (scheduler.submit(item, nowMs) is SubmitOutcome.Refused) refused[item.requestId] = nowMs
    }

    /** Advances to [untilMs] and calls [onTick] every 10 ms. */
    fun run(
        untilMs: Long,
        onTick: (Long) -> Unit = {},
    ) {
        while (nowMs < untilMs) {
            onTick(nowMs)
            applyActions()
            nowMs += TICK_MS
            advanceRequests()
            if (nowMs % REPORT_INTERVAL_MS == 0L) sendLoadReports()
        }
    }

    private fun applyActions() {
        for (action in scheduler.poll(nowMs)) {
            when (action) {
                is SchedulerAction.Drop -> refused[action.requestId] = nowMs
                is SchedulerAction.Start -> start(action)
            }
        }
    }

    private fun start(action: SchedulerAction.Start) {
        startedOn.merge(action.backendServerId, 1, Int::plus)
        if (action.backendServerId in failing) {
            failed += action.requestId
            scheduler.onServiceEvent(action.requestId, ServiceEvent.Failed(FailureKind.CONNECT_FAILED), nowMs)
        } else {
            running += Running(action.requestId, action.backendServerId, nowMs, serviceMs.toDouble())
        }
    }

    private fun advanceRequests() {
        for ((serverId, all) in running.toList().groupBy { it.serverId }) {
            val progressMs = TICK_MS * (speedFactors[serverId] ?: 1.0)
            all.take(slots).forEach { it.remainingServiceMs -= progressMs }
        }
        for (request in running.filter { !it.hasFirstToken && it.remainingServiceMs <= serviceMs * DECODE_SHARE }) {
            request.hasFirstToken = true
            scheduler.onServiceEvent(request.requestId, ServiceEvent.FirstToken, nowMs)
        }
        for (request in running.toList()) {
            val event =
                when {
                    request.remainingServiceMs <= 0 -> ServiceEvent.Completed(OUTPUT_TOKENS)
                    nowMs - request.startedAtMs >= attemptTimeoutMs -> ServiceEvent.Failed(FailureKind.TIMED_OUT)
                    else -> continue
                }
            running.remove(request)
            if (event is ServiceEvent.Completed) finishedAtMs[request.requestId] = nowMs else failed += request.requestId
            scheduler.onServiceEvent(request.requestId, event, nowMs)
        }
    }

    private fun sendLoadReports() {
        for (server in servers) {
            val inFlight = running.count { it.serverId == server.backendServerId }
            val sendLoadReports = LoadReport(server.backendServerId, 0, minOf(inFlight, slots), maxOf(0, inFlight - slots), slots)
            if (server.backendServerId !in failing) scheduler.onLoadReport(sendLoadReports, nowMs)
        }
    }
}
