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
private const val MAX_RUN_US = 1_800 * SECOND_US

/** One router with its own scheduler and its own view of the fleet. */
internal class SimulatedRouter(
    val index: Int,
    var scheduler: RequestScheduler,
) {
    var isAlive = true
    var wakeUpUs = Long.MAX_VALUE
    val lastCacheSequence = HashMap<BackendServerId, Long>()
}

/**
 * Runs one trace through routers and workers in virtual time.
 *
 * It stands in for the request path: starts attempts, reports their progress, and resubmits failed requests.
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
    private val requestsById = requests.associateBy { it.id }
    private var nextEventOrder = 0L

    val routers = List(deployment.routerCount) { SimulatedRouter(it, createScheduler(it)) }
    val workers = LinkedHashMap<BackendServerId, Worker>()

    var nowUs = 0L
        private set
    val nowMs: Long get() = nowUs / US_PER_MS

    /** Runs until all requests have ended, for at most [MAX_RUN_US], and returns them. */
    fun run(): List<SimulatedRequest> {
        for (request in requests) {
            scheduleAt(request.trace.arrivalUs) { arrive(request) }
            if (request.trace.trafficClass.workClass.mustFinish) continue
            val abandonAfterUs = ABANDON_FACTOR * request.trace.trafficClass.workClass.firstTokenTargetMs * US_PER_MS
            scheduleAt(request.trace.arrivalUs + abandonAfterUs) { if (request.firstTokenUs == null) abandon(request) }
        }
        var hasOpenRequests = true
        while (hasOpenRequests && nowUs < MAX_RUN_US) {
            step()
            if (nowUs > Scenario.ARRIVALS_END_US) hasOpenRequests = requests.any { it.isOpen }
        }
        return requests
    }

    /** Runs [action] at [atUs], or now if that is in the past. */
    fun scheduleAt(
        atUs: Long,
        action: () -> Unit,
    ) {
        events += Event(maxOf(atUs, nowUs), nextEventOrder++, action)
    }

    fun scheduleEvery(
        intervalUs: Long,
        firstUs: Long,
        action: () -> Unit,
    ) {
        scheduleAt(firstUs) {
            action()
            scheduleEvery(intervalUs, firstUs + intervalUs, action)
        }
    }

    /** Calls the scheduler of [router] and executes the actions that it then returns. */
    fun <T> withScheduler(
        router: SimulatedRouter,
        call: RequestScheduler.() -> T,
    ): T {
        val result = router.scheduler.call()
        router.scheduler.poll(nowMs).forEach { execute(router, it) }
        scheduleWakeUp(router)
        return result
    }

    /** Breaks the connections to [worker], which no longer responds. */
    fun disconnect(worker: Worker) {
        val broken = attempts.values.filter { it.worker === worker }
        broken.forEach { it.request.generatedTokens = maxOf(it.request.generatedTokens, worker.cancel(it.id, nowUs)) }
        worker.isReachable = false
        scheduleAt(nowUs + BROKEN_STREAM_DETECTION_US) { broken.forEach { fail(it, FailureKind.BROKEN_STREAM) } }
    }

    /** Stops [router]; its callers reconnect to other routers. */
    fun kill(router: SimulatedRouter) {
        router.isAlive = false
        for (request in requests.filter { it.isOpen && it.routerIndex == router.index && it.trace.arrivalUs <= nowUs }) {
            request.currentAttempt?.let {
                attempts.remove(it.id)
                it.worker.cancel(it.id, nowUs)
            }
            request.currentAttempt = null
            request.generatedTokens = 0
            scheduleAt(nowUs + CALLER_RECONNECT_US) { if (request.isOpen) arrive(request) }
        }
    }

    /** Restarts [router] with a new scheduler and no cache state. */
    fun restart(router: SimulatedRouter) {
        router.scheduler = createScheduler(router.index)
        router.lastCacheSequence.clear()
        router.isAlive = true
    }

    private fun step() {
        val workerNextUs = workers.values.mapNotNull { it.nextEventUs() }.minOrNull() ?: Long.MAX_VALUE
        val eventUs = events.peek()?.atUs ?: Long.MAX_VALUE
        check(minOf(workerNextUs, eventUs) < Long.MAX_VALUE) { "the simulation has no further events" }
        nowUs = maxOf(nowUs, minOf(workerNextUs, eventUs))
        for (worker in workers.values) {
            if (worker.isReachable && (worker.nextEventUs() ?: Long.MAX_VALUE) <= nowUs) worker.advance(nowUs).forEach(::onEngineEvent)
        }
        while ((events.peek()?.atUs ?: Long.MAX_VALUE) <= nowUs) events.remove().action()
    }

    private fun arrive(request: SimulatedRequest) {
        while (!routers[request.routerIndex].isAlive) request.routerIndex = (request.routerIndex + 1) % routers.size
        submit(request)
    }

    private fun submit(request: SimulatedRequest) {
        val trace = request.trace
        val item =
            WorkItem(
                request.id,
                trace.teamId,
                trace.trafficClass.workClass.workClassId,
                trace.target,
                trace.promptTokens,
                maxOf(1, trace.outputTokens - request.generatedTokens),
                trace.prefixHashes,
                arrivedAtMs = trace.arrivalUs / US_PER_MS,
                excludedServers = request.excludedServers.toSet(),
            )
        val router = routers[request.routerIndex]
        // A refusal is recorded before anything else happens, so that it is classified by the state that caused it.
        val outcome = router.scheduler.submit(item, nowMs)
        if (outcome is SubmitOutcome.Refused) refuse(request)
        withScheduler(router) { }
    }

    private fun execute(
        router: SimulatedRouter,
        action: SchedulerAction,
    ) {
        when (action) {
            is SchedulerAction.Drop -> refuse(requestsById.getValue(action.requestId))
            is SchedulerAction.Start -> start(router, requestsById.getValue(action.requestId), action)
        }
    }

    private fun start(
        router: SimulatedRouter,
        request: SimulatedRequest,
        action: SchedulerAction.Start,
    ) {
        check(request.isOpen && request.currentAttempt == null && request.routerIndex == router.index) { "${request.id} was started twice" }
        val worker = workers.getValue(action.backendServerId)
        val attempt = Attempt(request, ++request.attemptCount, worker, action.priority)
        request.currentAttempt = attempt
        attempts[attempt.id] = attempt
        if (!worker.isReachable) return scheduleAt(nowUs + CONNECT_TIMEOUT_US) { fail(attempt, FailureKind.CONNECT_FAILED) }
        worker.submit(attempt, nowUs)?.let { kind -> scheduleAt(nowUs) { fail(attempt, kind) } }
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
                request.currentAttempt = null
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
        request.currentAttempt = null
        request.excludedServers += attempt.worker.server.backendServerId
        withScheduler(routers[request.routerIndex]) { onServiceEvent(request.id, ServiceEvent.Failed(kind), nowMs) }
        if (request.attemptCount < MAX_ATTEMPTS) submit(request) else request.isEnded = true
    }

    private fun abandon(request: SimulatedRequest) {
        if (!request.isOpen) return
        request.isEnded = true
        request.currentAttempt?.let {
            attempts.remove(it.id)
            if (it.worker.isReachable) it.worker.cancel(it.id, nowUs)
        }
        withScheduler(routers[request.routerIndex]) { cancel(request.id, nowMs) }
    }

    private fun refuse(request: SimulatedRequest) {
        request.isEnded = true
        request.isRefused = true
        request.isFalselyRefused = freeSlotShare(request.trace.target) >= FALSE_REFUSAL_FREE_SHARE
    }

    private fun freeSlotShare(target: BackendTarget): Double {
        val reachableServers = workers.values.filter { target in it.server.targets && it.isReachable }
        return reachableServers.sumOf { it.freeSlots() } / maxOf(1, reachableServers.sumOf { it.slots }).toDouble()
    }

    private fun scheduleWakeUp(router: SimulatedRouter) {
        val wakeUpUs = (router.scheduler.nextWakeUpMs(nowMs) ?: return) * US_PER_MS
        if (router.wakeUpUs in (nowUs + 1)..wakeUpUs) return
        val scheduledUs = maxOf(wakeUpUs, nowUs + US_PER_MS)
        router.wakeUpUs = scheduledUs
        scheduleAt(scheduledUs) { if (router.isAlive && router.wakeUpUs == scheduledUs) withScheduler(router) { } }
    }
}
