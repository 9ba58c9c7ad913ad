package org.lycheemount.scheduling

import kotlinx.serialization.json.JsonObject
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.RequestId
import org.lycheemount.common.WorkClassId
import org.lycheemount.common.ZoneId
import org.lycheemount.config.WorkClass
import java.util.TreeSet
import kotlin.random.Random

private const val PRIORITY_STEP_MS = 50L
private const val MAX_PRIORITY = 10_000L

/** Composes queue, admission, server selection and health into the scheduler of one router. */
internal class DefaultRequestScheduler(
    zoneId: ZoneId,
    seed: Long,
    weights: SelectorWeights = SelectorWeights(),
    private val initialSpeeds: InitialSpeeds = InitialSpeeds(),
) : RequestScheduler {
    private val random = Random(seed)
    private val selector = ServerSelector(zoneId, random, weights)
    private val startRules = StartRules(selector)
    private val admission = AdmissionControl(random)
    private val workClasses = HashMap<WorkClassId, WorkClass>()
    private val lanes = LinkedHashMap<BackendTarget, TargetQueue>()
    private val servers = LinkedHashMap<BackendServerId, ServerState>()
    private val queued = HashMap<RequestId, QueuedRequest>()
    private val dropOrder = TreeSet<QueuedRequest>(compareBy({ it.dropAtMs }, { it.sequence }))
    private val started = HashMap<RequestId, StartedRequest>()
    private var lastSequence = 0L

    override fun onWorkClasses(workClasses: Collection<WorkClass>) {
        this.workClasses.clear()
        workClasses.associateByTo(this.workClasses) { it.workClassId }
    }

    override fun onBackendServers(
        servers: List<BackendServer>,
        nowMs: Long,
    ) {
        val listed = servers.associateBy { it.backendServerId }
        // A server that is gone is kept while requests of this router still run on it, so that their ends are counted.
        for (state in this.servers.values) {
            if (state.id !in listed) state.server = state.server.copy(leaving = true)
        }
        this.servers.values.removeIf { it.id !in listed && it.ownInFlight == 0 }
        for (server in servers) {
            val known = this.servers[server.backendServerId]
            when {
                known == null || known.server.vmId != server.vmId -> this.servers[server.backendServerId] = ServerState(server)
                else -> known.server = server
            }
        }
    }

    override fun submit(
        item: WorkItem,
        nowMs: Long,
    ): SubmitOutcome {
        val lane = lanes.getOrPut(item.target) { TargetQueue(item.target, initialSpeeds) }
        val candidates = servers.values.filter { serves(it, item) && !it.server.leaving && !it.health.isLeaving(nowMs) }
        if (candidates.isEmpty()) return SubmitOutcome.Refused(admission.noServer())
        val workClass = workClasses[item.workClassId] ?: defaultWorkClass(item.workClassId)
        val estimate = lane.estimator.estimate(item, bestCachedTokens(candidates, item, nowMs))
        val serviceMs = lane.estimator.observedServiceMs(item, estimate)
        val latest = LatestStart(item, workClass, estimate, lane.estimator.firstTokenStretch)
        val waitMs = lane.waitMs(item, latest.dueAtMs, candidates.filter { it.isOpen(nowMs) }, nowMs)
        admission.refusal(item, workClass, lane, waitMs, latest.dueAtMs, nowMs)?.let { return SubmitOutcome.Refused(it) }
        enqueue(lane, QueuedRequest(item, workClass, ++lastSequence, nowMs, serviceMs, latest, waitMs))
        return SubmitOutcome.Queued
    }

    override fun cancel(
        requestId: RequestId,
        nowMs: Long,
    ) {
        queued[requestId]?.let(::dequeue)
        val request = started.remove(requestId) ?: return
        servers[request.serverId]?.end(request, answered = false, nowMs)
    }

    override fun onServiceEvent(
        requestId: RequestId,
        event: ServiceEvent,
        nowMs: Long,
    ) {
        val request = started[requestId] ?: return
        val state = servers[request.serverId]
        val lane = lanes.getValue(request.item.target)
        when (event) {
            ServiceEvent.FirstToken -> onFirstToken(request, state, lane, nowMs)
            is ServiceEvent.Completed -> onCompleted(request, state, lane, event, nowMs)
            is ServiceEvent.Failed -> onFailed(request, state, event.kind, nowMs)
        }
    }

    override fun onLoadReport(
        report: LoadReport,
        nowMs: Long,
    ) {
        val state = servers[report.backendServerId] ?: return
        for (target in state.server.targets) {
            val lane = lanes.getOrPut(target) { TargetQueue(target, initialSpeeds) }
            if (state.onReport(report, lane.fleetShare, nowMs)) lane.onReport(state.reported.ownAtReport, state.reported.totalAtReport)
        }
    }

    override fun onCacheEvents(
        events: CacheEvents,
        nowMs: Long,
    ) {
        val prefixes = servers[events.backendServerId]?.prefixes ?: return
        if (events.gap) prefixes.onGap(nowMs)
        prefixes.evict(events.evictedPrefixHashes)
        prefixes.store(events.storedPrefixHashes, nowMs)
    }

    override fun poll(nowMs: Long): List<SchedulerAction> {
        val actions = ArrayList<SchedulerAction>()
        for (state in servers.values) {
            if (state.hangAtMs()?.let { it <= nowMs } == true) state.health.onHang(nowMs)
        }
        for (lane in lanes.values) startReady(lane, nowMs, actions)
        dropDeadWork(nowMs, actions)
        return actions
    }

    override fun describe(nowMs: Long): JsonObject = describeScheduler(lanes.values, servers.values, started.size, nowMs)

    override fun nextWakeUpMs(nowMs: Long): Long? {
        val times = ArrayList<Long>()
        dropOrder.firstOrNull()?.dropAtMs?.let(times::add)
        for (state in servers.values) {
            val hangAt = state.hangAtMs()
            if (hangAt != null && state.health.allowedRequests(nowMs) > 0) times += hangAt
            if (queued.isNotEmpty()) {
                state.health
                    .probeAtMs()
                    ?.takeIf { it > nowMs }
                    ?.let(times::add)
            }
        }
        return times.minOrNull()?.let { maxOf(it, nowMs) }
    }

    private fun startReady(
        lane: TargetQueue,
        nowMs: Long,
        actions: MutableList<SchedulerAction>,
    ) {
        while (lane.queue.size > 0) {
            val open = servers.values.filter { lane.target in it.server.targets && it.isOpen(nowMs) }
            if (open.isEmpty()) return
            val homes = HomeServers(open, lane.delayTolerantShare)
            val request = lane.queue.select { startRules.takers(open, homes, lane, it, nowMs).isNotEmpty() } ?: return
            val takers = startRules.takers(open, homes, lane, request, nowMs)
            val home = homes.homeOf(request.item, request.isDelayTolerant)
            val choice = selector.choose(takers, home, request.item, lane.estimator, nowMs) ?: return
            actions += start(lane, request, choice, nowMs)
        }
    }

    private fun start(
        lane: TargetQueue,
        request: QueuedRequest,
        choice: ScoredServer,
        nowMs: Long,
    ): SchedulerAction {
        lane.queue.start(request)
        dequeue(request)
        lane.onStarted(request, nowMs)
        val item = request.item
        val estimate = lane.estimator.estimate(item, cachedTokens(item, choice.matchedBlocks))
        val running = StartedRequest(item, choice.state.id, nowMs, choice.matchedBlocks, estimate, choice.state.load(nowMs) + 1)
        started[item.requestId] = running
        choice.state.start(running, nowMs)
        val priority = ((request.dueAtMs - nowMs) / PRIORITY_STEP_MS).coerceIn(0, MAX_PRIORITY).toInt()
        return SchedulerAction.Start(item.requestId, choice.state.id, priority)
    }

    private fun dropDeadWork(
        nowMs: Long,
        actions: MutableList<SchedulerAction>,
    ) {
        while (true) {
            val request = dropOrder.firstOrNull() ?: return
            val dropAt = request.dropAtMs ?: error("a request without drop time is in the drop order")
            if (dropAt > nowMs) return
            dequeue(request)
            val refusal =
                if (request.isPastDeadline(
                        nowMs,
                    )
                ) {
                    Refusal(RefusalReason.DEADLINE_PAST, "the deadline passed in the queue")
                } else {
                    admission.expired()
                }
            actions += SchedulerAction.Drop(request.item.requestId, refusal)
        }
    }

    private fun onFirstToken(
        request: StartedRequest,
        state: ServerState?,
        lane: TargetQueue,
        nowMs: Long,
    ) {
        if (state == null || request.firstTokenAtMs != null) return
        state.onFirstToken(request, nowMs)
        val elapsedMs = nowMs - request.startedAtMs
        val workClass = workClasses[request.item.workClassId] ?: defaultWorkClass(request.item.workClassId)
        state.limit.onFirstToken(elapsedMs, workClass.firstTokenTargetMs, request.loadAtStart, nowMs)
        lane.estimator.onFirstToken(request.item, request.predictedCachedTokens, elapsedMs)
    }

    private fun onCompleted(
        request: StartedRequest,
        state: ServerState?,
        lane: TargetQueue,
        event: ServiceEvent.Completed,
        nowMs: Long,
    ) {
        started.remove(request.item.requestId)
        if (state == null) return
        onFirstToken(request, state, lane, nowMs)
        val firstTokenAt = request.firstTokenAtMs ?: nowMs
        lane.estimator.onCompleted(request.item, event.outputTokens, nowMs - firstTokenAt)
        val decodeMs = event.outputTokens * lane.estimator.decodeMsPerToken
        lane.estimator.onServed(request.item, request.estimate, nowMs - request.startedAtMs)
        val ratio = (nowMs - request.startedAtMs) / maxOf(1.0, request.estimate.firstTokenMs + decodeMs)
        state.end(request, answered = true, nowMs)
        state.health.onSuccess(ratio, peerSlowness(state, request.item), nowMs)
        observeCache(request, state, event.cachedPromptTokens)
    }

    private fun onFailed(
        request: StartedRequest,
        state: ServerState?,
        kind: FailureKind,
        nowMs: Long,
    ) {
        started.remove(request.item.requestId)
        if (state == null) return
        state.end(request, answered = kind == FailureKind.REFUSED_BUSY, nowMs)
        state.health.onFailure(kind, nowMs)
        if (kind == FailureKind.REFUSED_BUSY) state.limit.onRefusedBusy(state.ownInFlight + 1, nowMs)
    }

    private fun observeCache(
        request: StartedRequest,
        state: ServerState,
        cachedPromptTokens: Int,
    ) {
        val item = request.item
        if (item.promptTokens == 0) return
        val blocks = (cachedPromptTokens.toLong() * item.prefixHashes.size / item.promptTokens).toInt()
        state.prefixes.onObserved(request.predictedBlocks, blocks)
    }

    private fun peerSlowness(
        state: ServerState,
        item: WorkItem,
    ): Double {
        val peers =
            servers.values
                .filter { it !== state && item.target in it.server.targets }
                .map { it.health.slowness }
                .sorted()
        return if (peers.isEmpty()) Double.MAX_VALUE else peers[peers.size / 2]
    }

    private fun bestCachedTokens(
        candidates: List<ServerState>,
        item: WorkItem,
        nowMs: Long,
    ) = cachedTokens(item, candidates.maxOf { it.prefixes.matchedBlocks(item.prefixHashes, nowMs) })

    private fun serves(
        state: ServerState,
        item: WorkItem,
    ) = item.target in state.server.targets && state.id !in item.excludedServers

    private fun enqueue(
        lane: TargetQueue,
        request: QueuedRequest,
    ) {
        lane.queue.add(request)
        queued[request.item.requestId] = request
        if (request.dropAtMs != null) dropOrder += request
    }

    private fun dequeue(request: QueuedRequest) {
        lanes.getValue(request.item.target).queue.remove(request)
        queued.remove(request.item.requestId)
        if (request.dropAtMs != null) dropOrder.remove(request)
    }
}
