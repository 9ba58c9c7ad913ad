package org.lycheemount.measure.routing

import org.lycheemount.common.BackendServerId
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.RequestId
import org.lycheemount.scheduling.FailureKind
import org.lycheemount.scheduling.RequestScheduler
import org.lycheemount.scheduling.SchedulerAction
import org.lycheemount.scheduling.ServiceEvent
import org.lycheemount.scheduling.SubmitOutcome
import org.lycheemount.scheduling.WorkItem
import org.lycheemount.standin.enginemodel.EngineEvent
import java.util.PriorityQueue

private const val MAX_ATTEMPTS = 4
private const val CONNECT_TIMEOUT_US = 50_000L
private const val BROKEN_STREAM_DETECTION_US = 500_000L
private const val CALLER_RECONNECT_US = 500_000L
private const val ABANDON_FACTOR = 4L
private const val US_PER_MS = 1_000L
private const val FALSE_REFUSAL_FREE_SHARE = 0.05
private const val RUN_LIMIT_US = 1_800 * SECOND_US

/** One router with its own scheduler and its own view of the fleet. */
internal class SimulatedRouter(
    val index: Int,
    var scheduler: RequestScheduler,
) {
    var alive = true
    var wakeUs = Long.MAX_VALUE
    val lastCacheSequence = HashMap<BackendServerId, Long>()
}

/**
 * Runs one trace through routers and workers in virtual time.
 *
 * It plays the part of the request path: starts attempts, reports their progress, and submits failed ones anew.
 */
internal class FleetSimulation(
    val deployment: Deployment,
    private val trace: List<TraceRequest>,
    private val createScheduler: (routerIndex: Int) -> RequestScheduler,
) {
    private class Event(
        val atUs: Long,
        val order: Long,
        val action: () -> Unit,
    )

    private val events = PriorityQueue<Event>(compareBy({ it.atUs }, { it.order }))
    private val requests = trace.map(::SimulatedRequest)
    private val attempts = HashMap<RequestId, Attempt>()
    private val byId = requests.associateBy { it.id }
    private var order = 0L

    val routers = List(deployment.routerCount) { SimulatedRouter(it, createScheduler(it)) }
    val workers = LinkedHashMap<BackendServerId, Worker>()

    var nowUs = 0L
        private set
    val nowMs: Long get() = nowUs / US_PER_MS

    /** Runs until all requests have ended and returns them. */
    fun run(): List<SimulatedRequest> {
        for (request in requests) {
            at(request.trace.atUs) { arrive(request) }
            if (request.trace.traffic.workClass.mustFinish) continue
            val abandonAfterUs = ABANDON_FACTOR * request.trace.traffic.workClass.firstTokenTargetMs * US_PER_MS
            at(request.trace.atUs + abandonAfterUs) { if (request.firstTokenUs == null) giveUp(request) }
        }
        var openRequests = true
        while (openRequests && nowUs < RUN_LIMIT_US) {
            step()
            if (nowUs > Scenario.ARRIVALS_UNTIL_US) openRequests = requests.any { it.open }
        }
        return requests
    }

    /** Runs [action] at [atUs]. */
    fun at(
        atUs: Long,
        action: () -> Unit,
    ) {
        events += Event(maxOf(atUs, nowUs), order++, action)
    }

    fun every(
        intervalUs: Long,
        firstUs: Long,
        action: () -> Unit,
    ) {
        at(firstUs) {
            action()
            every(intervalUs, firstUs + intervalUs, action)
        }
    }

    /** Calls the scheduler of [router] and carries out what it then wants. */
    fun <T> withScheduler(
        router: SimulatedRouter,
        call: RequestScheduler.() -> T,
    ): T {
        val result = router.scheduler.call()
        router.scheduler.poll(nowMs).forEach { carryOut(router, it) }
        scheduleWakeUp(router)
        return result
    }

    /** Breaks the connections to [worker], which stops to answer. */
    fun cutOff(worker: Worker) {
        val broken = attempts.values.filter { it.worker === worker }
        broken.forEach { it.request.generatedTokens = maxOf(it.request.generatedTokens, worker.cancel(it.id, nowUs)) }
        worker.reachable = false
        at(nowUs + BROKEN_STREAM_DETECTION_US) { broken.forEach { fail(it, FailureKind.BROKEN_STREAM) } }
    }

    /** Ends [router]; its callers reconnect to other routers. */
    fun kill(router: SimulatedRouter) {
        router.alive = false
        for (request in requests.filter { it.open && it.routerIndex == router.index && it.trace.atUs <= nowUs }) {
            request.current?.let {
                attempts.remove(it.id)
                it.worker.cancel(it.id, nowUs)
            }
            request.current = null
            request.generatedTokens = 0
            at(nowUs + CALLER_RECONNECT_US) { if (request.open) arrive(request) }
        }
    }

    /** Starts [router] again with nothing learned. */
    fun restart(router: SimulatedRouter) {
        router.scheduler = createScheduler(router.index)
        router.lastCacheSequence.clear()
        router.alive = true
    }

    private fun step() {
        val workerNextUs = workers.values.mapNotNull { it.nextEventUs() }.minOrNull() ?: Long.MAX_VALUE
        val eventUs = events.peek()?.atUs ?: Long.MAX_VALUE
        check(minOf(workerNextUs, eventUs) < Long.MAX_VALUE) { "the simulation has nothing left to do" }
        nowUs = maxOf(nowUs, minOf(workerNextUs, eventUs))
        for (worker in workers.values) {
            if (worker.reachable && (worker.nextEventUs() ?: Long.MAX_VALUE) <= nowUs) worker.advance(nowUs).forEach(::onEngineEvent)
        }
        while ((events.peek()?.atUs ?: Long.MAX_VALUE) <= nowUs) events.remove().action()
    }

    private fun arrive(request: SimulatedRequest) {
        while (!routers[request.routerIndex].alive) request.routerIndex = (request.routerIndex + 1) % routers.size
        submit(request)
    }

    private fun submit(request: SimulatedRequest) {
        val trace = request.trace
        val item =
            WorkItem(
                request.id,
                trace.teamId,
                trace.traffic.workClass.workClassId,
                trace.target,
                trace.promptTokens,
                maxOf(1, trace.naturalTokens - request.generatedTokens),
                trace.prefixHashes,
                arrivedAtMs = trace.atUs / US_PER_MS,
                excludedServers = request.excluded.toSet(),
            )
        val router = routers[request.routerIndex]
        // The caller is told of a refusal before anything else can happen, so that it is judged by the state that led to it.
        val outcome = router.scheduler.submit(item, nowMs)
        if (outcome is SubmitOutcome.Refused) refuse(request)
        withScheduler(router) { }
    }

    private fun carryOut(
        router: SimulatedRouter,
        action: SchedulerAction,
    ) {
        when (action) {
            is SchedulerAction.Drop -> refuse(byId.getValue(action.requestId))
            is SchedulerAction.Start -> start(router, byId.getValue(action.requestId), action)
        }
    }

    private fun start(
        router: SimulatedRouter,
        request: SimulatedRequest,
        action: SchedulerAction.Start,
    ) {
        check(request.open && request.current == null && request.routerIndex == router.index) { "${request.id} was started twice" }
        val worker = workers.getValue(action.backendServerId)
        val attempt = Attempt(request, ++request.attempts, worker, action.priority)
        request.current = attempt
        attempts[attempt.id] = attempt
        if (!worker.reachable) return at(nowUs + CONNECT_TIMEOUT_US) { fail(attempt, FailureKind.CONNECT_FAILED) }
        worker.submit(attempt, nowUs)?.let { kind -> at(nowUs) { fail(attempt, kind) } }
    }

    private fun onEngineEvent(event: EngineEvent) {
        val attempt = attempts[event.requestId] ?: return
        val request = attempt.request
        val router = routers[request.routerIndex]
        if (request.firstTokenUs == null) request.firstTokenUs = event.atUs
        when (event) {
            is EngineEvent.Token -> withScheduler(router) { onServiceEvent(request.id, ServiceEvent.FirstToken, nowMs) }
            is EngineEvent.Finished -> {
                attempts.remove(attempt.id)
                request.current = null
                request.finishedUs = event.atUs
                request.cachedTokens += event.cachedPromptTokens
                request.prefilledTokens += request.trace.promptTokens
                val completed = ServiceEvent.Completed(event.totalTokens, event.cachedPromptTokens)
                withScheduler(router) { onServiceEvent(request.id, completed, nowMs) }
            }
        }
    }

    private fun fail(
        attempt: Attempt,
        kind: FailureKind,
    ) {
        if (attempts.remove(attempt.id) == null) return
        val request = attempt.request
        request.current = null
        request.excluded += attempt.worker.server.backendServerId
        withScheduler(routers[request.routerIndex]) { onServiceEvent(request.id, ServiceEvent.Failed(kind), nowMs) }
        if (request.attempts < MAX_ATTEMPTS) submit(request) else request.ended = true
    }

    private fun giveUp(request: SimulatedRequest) {
        if (!request.open) return
        request.ended = true
        request.current?.let {
            attempts.remove(it.id)
            if (it.worker.reachable) it.worker.cancel(it.id, nowUs)
        }
        withScheduler(routers[request.routerIndex]) { cancel(request.id, nowMs) }
    }

    private fun refuse(request: SimulatedRequest) {
        request.ended = true
        request.refused = true
        request.falselyRefused = freeShare(request.trace.target) >= FALSE_REFUSAL_FREE_SHARE
    }

    private fun freeShare(target: BackendTarget): Double {
        val serving = workers.values.filter { target in it.server.targets && it.reachable }
        return serving.sumOf { it.freeSlots() } / maxOf(1, serving.sumOf { it.slots }).toDouble()
    }

    private fun scheduleWakeUp(router: SimulatedRouter) {
        val wakeUs = (router.scheduler.nextWakeUpMs(nowMs) ?: return) * US_PER_MS
        if (router.wakeUs in (nowUs + 1)..wakeUs) return
        val dueUs = maxOf(wakeUs, nowUs + US_PER_MS)
        router.wakeUs = dueUs
        at(dueUs) { if (router.alive && router.wakeUs == dueUs) withScheduler(router) { } }
    }
}
