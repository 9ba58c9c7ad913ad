package org.lycheemount.scheduling

import kotlinx.serialization.json.JsonObject
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.RequestId
import org.lycheemount.common.WorkClassId
import org.lycheemount.common.ZoneId
import org.lycheemount.config.WorkClass
import java.util.TreeSet
import kotlin.random.Random

private const val PRIORITY_STEP_MS = 50L
private const val MAX_PRIORITY = 10_000L

/** Request scheduler of one router, built from queues, admission control, server selection and health tracking. */
internal class DefaultRequestScheduler(
    zoneId: ZoneId,
    seed: Long,
    weights: SelectorWeights = SelectorWeights(),
    private val initialSpeeds: InitialSpeeds = InitialSpeeds(),
) : RequestScheduler {
    private val random = Random(seed)
    private val selector = ServerSelector(zoneId, random, weights)
    private val startPolicy = StartPolicy(selector)
    private val admissionControl = AdmissionControl(random)
    private val workClasses = HashMap<WorkClassId, WorkClass>()
    private val targetQueues = LinkedHashMap<BackendTarget, TargetQueue>()
    private val servers = LinkedHashMap<BackendServerId, ServerState>()
    private val queued = HashMap<RequestId, QueuedRequest>()
    private val byDropTime = TreeSet<QueuedRequest>(compareBy({ it.dropAtMs }, { it.sequence }))
    private val started = HashMap<RequestId, StartedRequest>()
    private var lastSequence = 0L
    private var fleet: RouterFleet? = null
    private var evacuatedZones = emptySet<ZoneId>()
    private var coldServers = emptyMap<BackendServerId, ColdServer>()

    /** Whether a server has stopped taking requests since the queued requests were last checked for one that has not. */
    private var hasFewerServers = false

    override fun onWorkClasses(workClasses: Collection<WorkClass>) {
        this.workClasses.clear()
        workClasses.associateByTo(this.workClasses) { it.workClassId }
    }

    override fun onBackendServers(
        servers: List<BackendServer>,
        nowMs: Long,
    ) {
        val listed = servers.associateBy { it.backendServerId }
        // Keeps the state of an unlisted server until the requests of this router on it have ended.
        for (state in this.servers.values) {
            if (state.id !in listed) state.server = state.server.copy(leaving = true)
        }
        if (this.servers.values.removeIf { it.id !in listed && it.ownInFlight == 0 }) hasFewerServers = true
        for (server in servers) {
            val existing = this.servers[server.backendServerId]
            if (existing != null && existing.server.vmId == server.vmId) {
                existing.server = server
            } else {
                this.servers[server.backendServerId] = ServerState(server).also { it.onCold(coldServers[it.id], fleet, nowMs) }
                // The next run may have another software version.
                if (existing != null) hasFewerServers = true
            }
        }
        onEvacuatedZones(evacuatedZones, nowMs)
    }

    override fun onEvacuatedZones(
        zones: Set<ZoneId>,
        nowMs: Long,
    ) {
        evacuatedZones = zones
        servers.values.forEach { it.isEvacuated = it.server.zoneId in zones }
    }

    override fun submit(
        item: WorkItem,
        nowMs: Long,
    ): SubmitOutcome {
        val targetQueue = targetQueues.getOrPut(item.target) { TargetQueue(item.target, initialSpeeds) }
        val candidates = servers.values.openServers(nowMs) { item.allows(it.server) }
        if (candidates.isEmpty()) return SubmitOutcome.Refused(admissionControl.noServerRefusal(item, servers.values, nowMs))
        val workClass = workClasses[item.workClassId] ?: defaultWorkClass(item.workClassId)
        val estimate = targetQueue.estimator.estimate(item, candidates.maxCachedTokens(item, nowMs))
        val serviceMs = targetQueue.estimator.expectedServiceMs(item, estimate)
        val deadlines = StartDeadlines(item, workClass, estimate, targetQueue.estimator.firstTokenSlowdown)
        val startsAtMs = candidates.firstAvailableAtMs(nowMs)
        val available =
            servers.values.filter {
                item.target in it.server.targets && it.isAvailable(startsAtMs) && (!it.isLeaving(startsAtMs) || it in candidates)
            }
        val waitMs = startsAtMs - nowMs + targetQueue.waitMs(item, deadlines.dueAtMs, available, startsAtMs)
        val refusal = admissionControl.refusalFor(item, workClass, targetQueue, waitMs, deadlines.dueAtMs, nowMs)
        if (refusal != null) return SubmitOutcome.Refused(refusal)
        val request = QueuedRequest(item, workClass, ++lastSequence, nowMs, serviceMs, deadlines, waitMs)
        targetQueue.fairQueue.add(request)
        queued[item.requestId] = request
        if (request.dropAtMs != null) byDropTime += request
        return SubmitOutcome.Queued
    }

    override fun cancel(
        requestId: RequestId,
        nowMs: Long,
    ) {
        queued[requestId]?.let(::dequeue)
        val request = started.remove(requestId) ?: return
        servers[request.serverId]?.end(request, isAnswered = false, nowMs)
    }

    override fun onServiceEvent(
        requestId: RequestId,
        event: ServiceEvent,
        nowMs: Long,
    ) {
        val request = started[requestId] ?: return
        val state = servers[request.serverId]
        val targetQueue = targetQueues.getValue(request.item.target)
        when (event) {
            ServiceEvent.FirstToken -> onFirstToken(request, state, targetQueue, nowMs)
            is ServiceEvent.Completed -> onCompleted(request, state, targetQueue, event, nowMs)
            is ServiceEvent.Failed -> onFailed(request, state, event.kind, nowMs)
        }
    }

    override fun onLoadReport(
        report: LoadReport,
        nowMs: Long,
    ) {
        val state = servers[report.backendServerId] ?: return
        for (target in state.server.targets) {
            val targetQueue = targetQueues.getOrPut(target) { TargetQueue(target, initialSpeeds) }
            val isNewer = state.onReport(report, targetQueue.fleetShare, nowMs)
            if (isNewer) targetQueue.onReport(state.reportedLoad.ownRequestsAtReport, state.reportedLoad.totalRequestsAtReport)
        }
    }

    override fun onRequestLimit(
        statement: RequestLimitStatement,
        nowMs: Long,
    ) {
        val state = servers[statement.backendServerId] ?: return
        if (state.server.vmId == statement.vmId) state.requestLimit.onStatement(statement, fleet, nowMs)
    }

    override fun onColdServers(
        servers: Collection<ColdServer>,
        nowMs: Long,
    ) {
        coldServers = servers.associateBy { it.backendServerId }
        this.servers.values.forEach { it.onCold(coldServers[it.id], fleet, nowMs) }
    }

    override fun onLeaving(
        statement: LeavingStatement,
        nowMs: Long,
    ) {
        val state = servers[statement.backendServerId] ?: return
        if (state.server.vmId == statement.vmId) state.departure.onStatement(statement)
    }

    override fun onPause(
        statement: PauseStatement,
        nowMs: Long,
    ) {
        val state = servers[statement.backendServerId] ?: return
        if (state.server.vmId == statement.vmId && nowMs < statement.endsAtMs) state.pause.onAsked(statement.endsAtMs)
    }

    override fun onRouterFleet(
        fleet: RouterFleet,
        nowMs: Long,
    ) {
        if (this.fleet?.isSameAs(fleet) == true) return
        this.fleet = fleet
        servers.values.forEach { it.onFleet(fleet, nowMs) }
    }

    override fun onCacheEvents(
        events: CacheEvents,
        nowMs: Long,
    ) {
        val prefixIndex = servers[events.backendServerId]?.prefixIndex ?: return
        if (events.hasGap) prefixIndex.onEventGap(nowMs)
        prefixIndex.evict(events.evictedPrefixHashes)
        prefixIndex.store(events.storedPrefixHashes, nowMs)
    }

    override fun poll(nowMs: Long): List<SchedulerAction> {
        val actions = ArrayList<SchedulerAction>()
        for (state in servers.values) {
            if (state.hangDeadlineMs()?.let { it <= nowMs } == true) state.health.onHang(nowMs)
            state.updateLimits(fleet, nowMs)
            if (state.hasClosed(nowMs)) hasFewerServers = true
        }
        for (targetQueue in targetQueues.values) startReady(targetQueue, nowMs, actions)
        dropExpiredRequests(nowMs, actions)
        if (hasFewerServers) dropUnservableRequests(nowMs, actions)
        hasFewerServers = false
        return actions
    }

    override fun dumpState(nowMs: Long): JsonObject = dumpSchedulerState(targetQueues.values, servers.values, started.size, nowMs)

    override fun nextWakeUpMs(nowMs: Long): Long? {
        val times = ArrayList<Long>()
        byDropTime.firstOrNull()?.dropAtMs?.let(times::add)
        for (state in servers.values) {
            val hangDeadlineMs = state.hangDeadlineMs()
            if (hangDeadlineMs != null && state.health.allowedRequests(nowMs) > 0) times += hangDeadlineMs
            if (queued.isNotEmpty()) times += state.requestTimesMs(nowMs)
        }
        return times.minOrNull()?.let { maxOf(it, nowMs) }
    }

    private fun startReady(
        targetQueue: TargetQueue,
        nowMs: Long,
        actions: MutableList<SchedulerAction>,
    ) {
        while (targetQueue.fairQueue.size > 0) {
            val available = servers.values.filter { targetQueue.target in it.server.targets && it.isAvailable(nowMs) }
            if (available.isEmpty()) return
            val pools = ServerPools(available, targetQueue.delayTolerantShare, nowMs)
            val eligibleServers = { request: QueuedRequest ->
                startPolicy.eligibleServers(pools.poolOf(request.item.allowedVersions), targetQueue, request, nowMs)
            }
            val request = targetQueue.fairQueue.select { eligibleServers(it).isNotEmpty() } ?: return
            val pool = pools.poolOf(request.item.allowedVersions)
            val preferredServer = pool.preferredServers.preferredServerOf(request.item, request.isDelayTolerant)
            val choice = selector.choose(eligibleServers(request), preferredServer, request.item, targetQueue.estimator, nowMs) ?: return
            actions += start(targetQueue, request, choice, nowMs)
        }
    }

    private fun start(
        targetQueue: TargetQueue,
        request: QueuedRequest,
        choice: ScoredServer,
        nowMs: Long,
    ): SchedulerAction {
        targetQueue.fairQueue.start(request)
        dequeue(request)
        targetQueue.onStarted(request, nowMs)
        val item = request.item
        val estimate = targetQueue.estimator.estimate(item, cachedTokens(item, choice.matchedBlocks))
        val load = choice.state.estimatedLoad(nowMs) + 1
        val startedRequest = StartedRequest(item, choice.state.id, nowMs, choice.matchedBlocks, estimate, load)
        started[item.requestId] = startedRequest
        choice.state.start(startedRequest, nowMs)
        val priority = ((request.dueAtMs - nowMs) / PRIORITY_STEP_MS).coerceIn(0, MAX_PRIORITY).toInt()
        return SchedulerAction.Start(item.requestId, choice.state.id, priority)
    }

    private fun dropExpiredRequests(
        nowMs: Long,
        actions: MutableList<SchedulerAction>,
    ) {
        while (true) {
            val request = byDropTime.firstOrNull() ?: return
            val dropAtMs = request.dropAtMs ?: error("request without a drop time in byDropTime")
            if (dropAtMs > nowMs) return
            dequeue(request)
            actions += SchedulerAction.Drop(request.item.requestId, admissionControl.expiredRefusal(request.isPastDeadline(nowMs)))
        }
    }

    /** Refuses the queued requests that no server can take any more. */
    private fun dropUnservableRequests(
        nowMs: Long,
        actions: MutableList<SchedulerAction>,
    ) {
        for (request in queued.values.filter { request ->
            servers.values.openServers(nowMs) { request.item.allows(it.server) }.isEmpty()
        }) {
            dequeue(request)
            actions += SchedulerAction.Drop(request.item.requestId, admissionControl.noServerRefusal(request.item, servers.values, nowMs))
        }
    }

    private fun onFirstToken(
        request: StartedRequest,
        state: ServerState?,
        targetQueue: TargetQueue,
        nowMs: Long,
    ) {
        if (state == null || request.firstTokenAtMs != null) return
        state.onFirstToken(request, nowMs)
        state.pause.onAccepted(request.startedAtMs)
        val elapsedMs = nowMs - request.startedAtMs
        val workClass = workClasses[request.item.workClassId] ?: defaultWorkClass(request.item.workClassId)
        state.concurrencyLimit.onFirstToken(elapsedMs, workClass.firstTokenTargetMs, request.loadAtStart, nowMs)
        targetQueue.estimator.onFirstToken(request.item, request.predictedCachedTokens, elapsedMs)
    }

    private fun onCompleted(
        request: StartedRequest,
        state: ServerState?,
        targetQueue: TargetQueue,
        event: ServiceEvent.Completed,
        nowMs: Long,
    ) {
        started.remove(request.item.requestId)
        if (state == null) return
        onFirstToken(request, state, targetQueue, nowMs)
        val firstTokenAtMs = request.firstTokenAtMs ?: nowMs
        targetQueue.estimator.onCompleted(request.item, event.outputTokens, nowMs - firstTokenAtMs)
        val decodeMs = event.outputTokens * targetQueue.estimator.decodeMsPerToken
        targetQueue.estimator.onServed(request.item, request.estimate, nowMs - request.startedAtMs)
        val ratio = (nowMs - request.startedAtMs) / maxOf(1.0, request.estimate.firstTokenMs + decodeMs)
        state.end(request, isAnswered = true, nowMs)
        state.health.onSuccess(ratio, servers.values.medianPeerSlowdown(state, request.item, nowMs), nowMs)
        state.recordCacheHit(request, event.cachedPromptTokens)
    }

    private fun onFailed(
        request: StartedRequest,
        state: ServerState?,
        kind: FailureKind,
        nowMs: Long,
    ) {
        started.remove(request.item.requestId)
        if (state == null) return
        state.end(request, isAnswered = kind == FailureKind.REFUSED_BUSY, nowMs)
        state.health.onFailure(kind, nowMs)
        if (kind == FailureKind.REFUSED_LEAVING) state.departure.onRefused(nowMs)
        if (kind == FailureKind.REFUSED_BUSY) state.concurrencyLimit.onRefusedBusy(state.ownInFlight + 1, nowMs)
    }

    private fun dequeue(request: QueuedRequest) {
        targetQueues.getValue(request.item.target).fairQueue.remove(request)
        queued.remove(request.item.requestId)
        if (request.dropAtMs != null) byDropTime.remove(request)
    }
}
