package org.lycheemount.caller

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.lycheemount.backend.AttemptFailure
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.Clock
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.RequestId
import org.lycheemount.common.StateDumpSource
import org.lycheemount.common.ZoneId
import org.lycheemount.config.WorkClass
import org.lycheemount.scheduling.CacheEvents
import org.lycheemount.scheduling.ColdServer
import org.lycheemount.scheduling.FailureKind
import org.lycheemount.scheduling.LeavingStatement
import org.lycheemount.scheduling.LoadReport
import org.lycheemount.scheduling.PauseStatement
import org.lycheemount.scheduling.RequestLimitStatement
import org.lycheemount.scheduling.RequestScheduler
import org.lycheemount.scheduling.RouterFleet
import org.lycheemount.scheduling.SchedulerAction
import org.lycheemount.scheduling.ServiceEvent
import org.lycheemount.scheduling.SubmitOutcome
import org.lycheemount.scheduling.WorkItem
import org.lycheemount.stream.AttemptPermit

/**
 * Serialises all calls to the scheduler and delivers its decisions to the waiting requests. Thread-safe.
 */
class WorkDispatcher(
    private val scheduler: RequestScheduler,
    private val clock: Clock,
) : StateDumpSource {
    private val queuedPermits = HashMap<RequestId, CompletableDeferred<AttemptPermit>>()
    private val wakeUp = Channel<Unit>(Channel.CONFLATED)
    private var servers = emptyMap<BackendServerId, BackendServer>()
    private var evacuatedZones = emptySet<ZoneId>()
    private var workClasses: Map<out Any, WorkClass> = emptyMap<Any, WorkClass>()
    private var nextWakeUpAtMs = Long.MAX_VALUE

    override val name: String get() = "dispatcher"

    /** Polls the scheduler at the times it requests, until [scope] is cancelled. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                val waitMs = untilNextWakeUpMs()
                if (waitMs == null) wakeUp.receive() else withTimeoutOrNull(waitMs) { wakeUp.receive() }
                // Limits the polling rate when the scheduler requests an immediate wake-up, so that a fault cannot spin a core.
                if (waitMs == 0L) delay(1)
                withScheduler { }
            }
        }
    }

    /** Queues [item] and waits until the scheduler assigns a server or refuses the request. */
    suspend fun acquire(item: WorkItem): AttemptPermit {
        val permit = CompletableDeferred<AttemptPermit>()
        withScheduler { nowMs ->
            queuedPermits[item.requestId] = permit
            val outcome = scheduler.submit(item, nowMs)
            if (outcome is SubmitOutcome.Refused) {
                queuedPermits.remove(item.requestId)
                permit.complete(AttemptPermit.Refused(outcome.refusal))
            }
        }
        try {
            return permit.await()
        } catch (exception: CancellationException) {
            cancel(item.requestId)
            throw exception
        }
    }

    /** Removes a request whose caller has disconnected. */
    fun cancel(requestId: RequestId) =
        withScheduler { nowMs ->
            queuedPermits.remove(requestId)
            scheduler.cancel(requestId, nowMs)
        }

    /** Refuses a queued request with [refusal]; returns false when it is not queued. */
    fun refuseIfQueued(
        requestId: RequestId,
        refusal: Refusal,
    ): Boolean {
        var permit: CompletableDeferred<AttemptPermit>? = null
        withScheduler { nowMs ->
            permit = queuedPermits.remove(requestId)
            if (permit != null) scheduler.cancel(requestId, nowMs)
        }
        return permit?.complete(AttemptPermit.Refused(refusal)) ?: false
    }

    /** Reports the progress of a started request. */
    fun onServiceEvent(
        requestId: RequestId,
        event: ServiceEvent,
    ) = withScheduler { nowMs -> scheduler.onServiceEvent(requestId, event, nowMs) }

    /** Reports a failed attempt. */
    fun onFailure(
        requestId: RequestId,
        failure: AttemptFailure,
    ) = onServiceEvent(requestId, ServiceEvent.Failed(failureKind(failure)))

    /** Replaces the list of backend servers, and applies what they have said about shutdowns and pauses before any request is assigned. */
    fun onBackendServers(
        current: List<BackendServer>,
        statements: List<LeavingStatement> = emptyList(),
        pauses: Collection<PauseStatement> = emptyList(),
    ) = withScheduler { nowMs ->
        servers = current.associateBy { it.backendServerId }
        scheduler.onBackendServers(current, nowMs)
        statements.forEach { scheduler.onLeaving(it, nowMs) }
        pauses.forEach { scheduler.onPause(it, nowMs) }
    }

    /** Passes a load report to the scheduler. */
    fun onLoadReport(report: LoadReport) = withScheduler { nowMs -> scheduler.onLoadReport(report, nowMs) }

    /** Passes a server's statement about its request limit to the scheduler. */
    fun onRequestLimit(statement: RequestLimitStatement) = withScheduler { nowMs -> scheduler.onRequestLimit(statement, nowMs) }

    /** Replaces the cold servers. */
    fun onColdServers(servers: List<ColdServer>) = withScheduler { nowMs -> scheduler.onColdServers(servers, nowMs) }

    /** Passes a server's statement about its shutdown to the scheduler. */
    fun onLeaving(statement: LeavingStatement) = withScheduler { nowMs -> scheduler.onLeaving(statement, nowMs) }

    /** Passes a server's statement about a pause to the scheduler. */
    fun onPause(statement: PauseStatement) = withScheduler { nowMs -> scheduler.onPause(statement, nowMs) }

    /** Replaces the evacuated zones. */
    fun onEvacuatedZones(zones: Set<ZoneId>) =
        withScheduler { nowMs ->
            evacuatedZones = zones
            scheduler.onEvacuatedZones(zones, nowMs)
        }

    /** Replaces the routers that share the request limits of servers. */
    fun onRouterFleet(fleet: RouterFleet) = withScheduler { nowMs -> scheduler.onRouterFleet(fleet, nowMs) }

    /** Passes prefix cache events to the scheduler. */
    fun onCacheEvents(events: CacheEvents) = withScheduler { nowMs -> scheduler.onCacheEvents(events, nowMs) }

    /** Replaces the work classes if they have changed. */
    fun onWorkClasses(current: Map<out Any, WorkClass>) {
        if (current === workClasses) return
        withScheduler {
            workClasses = current
            scheduler.onWorkClasses(current.values)
        }
    }

    /** Backend servers of the last [onBackendServers] call. */
    val backendServers: Collection<BackendServer>
        @Synchronized
        get() = servers.values

    /** Whether [server] has been replaced by another run under its id, which may have another software version. */
    @Synchronized
    fun isReplaced(server: BackendServer): Boolean {
        val listed = servers[server.backendServerId] ?: return false
        return listed.vmId != server.vmId || listed.softwareVersion != server.softwareVersion
    }

    /** Whether no request may be sent to [server] because its zone is evacuated. */
    @Synchronized
    fun isEvacuated(server: BackendServer): Boolean = server.zoneId in evacuatedZones

    /** Whether [backendServerId] is no longer in the VM list. */
    @Synchronized
    fun isGone(backendServerId: BackendServerId): Boolean = backendServerId !in servers

    @Synchronized
    override fun dumpState(): JsonObject =
        buildJsonObject {
            put("waitingRequests", queuedPermits.size)
            put("backendServers", servers.size)
            put("leavingBackendServers", servers.values.count { it.leaving })
            putJsonArray("evacuatedZones") { evacuatedZones.forEach { add(it.value) } }
        }

    private fun withScheduler(operation: (Long) -> Unit) {
        val resolved =
            synchronized(this) {
                val nowMs = clock.monotonicMs()
                operation(nowMs)
                val permits = scheduler.poll(nowMs).mapNotNull(::resolve)
                val dueAtMs = scheduler.nextWakeUpMs(nowMs) ?: Long.MAX_VALUE
                if (dueAtMs < nextWakeUpAtMs) wakeUp.trySend(Unit)
                nextWakeUpAtMs = dueAtMs
                permits
            }
        resolved.forEach { (permit, outcome) -> permit.complete(outcome) }
    }

    private fun resolve(action: SchedulerAction): Pair<CompletableDeferred<AttemptPermit>, AttemptPermit>? =
        when (action) {
            is SchedulerAction.Start -> queuedPermits.remove(action.requestId)?.let { it to permitFor(action) }
            is SchedulerAction.Drop -> queuedPermits.remove(action.requestId)?.let { it to AttemptPermit.Refused(action.refusal) }
        }

    private fun permitFor(start: SchedulerAction.Start): AttemptPermit {
        val server = servers[start.backendServerId]
        if (server != null) return AttemptPermit.Granted(server, start.priority)
        scheduler.cancel(start.requestId, clock.monotonicMs())
        return AttemptPermit.Refused(Refusal(RefusalReason.NO_BACKEND_SERVER, "the backend server has left", retryAfterMs = 1_000))
    }

    @Synchronized
    private fun untilNextWakeUpMs(): Long? =
        nextWakeUpAtMs.takeIf { it != Long.MAX_VALUE }?.let { (it - clock.monotonicMs()).coerceAtLeast(0) }
}

private fun failureKind(failure: AttemptFailure): FailureKind =
    when (failure) {
        AttemptFailure.CONNECT_FAILED -> FailureKind.CONNECT_FAILED
        AttemptFailure.REFUSED_BUSY -> FailureKind.REFUSED_BUSY
        AttemptFailure.REFUSED_LEAVING -> FailureKind.REFUSED_LEAVING
        AttemptFailure.TIMED_OUT -> FailureKind.TIMED_OUT
        AttemptFailure.BROKEN_CONNECTION -> FailureKind.BROKEN_STREAM
        AttemptFailure.SERVER_ERROR -> FailureKind.SERVER_ERROR
    }
