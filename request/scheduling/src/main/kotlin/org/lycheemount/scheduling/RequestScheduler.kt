package org.lycheemount.scheduling

import kotlinx.serialization.json.JsonObject
import org.lycheemount.common.BackendServer
import org.lycheemount.common.RequestId
import org.lycheemount.config.WorkClass

/**
 * Queues requests and assigns them to backend servers according to the latency targets of their work classes.
 *
 * A state machine without clock, threads or I/O. Callers pass the monotonic time and serialise their calls. After any other
 * call, the owner calls [poll] and carries out the returned actions.
 */
interface RequestScheduler :
    ZoneEvacuationListener,
    ColdServerListener {
    /** Replaces the work classes. */
    fun onWorkClasses(workClasses: Collection<WorkClass>)

    /** Replaces the known backend servers. Leaving servers get no new requests. */
    fun onBackendServers(
        servers: List<BackendServer>,
        nowMs: Long,
    )

    /** Adds [item] to the queue, or refuses it when its targets cannot be met. */
    fun submit(
        item: WorkItem,
        nowMs: Long,
    ): SubmitOutcome

    /** Removes a request whose caller has disconnected. A started request counts as ended. */
    fun cancel(
        requestId: RequestId,
        nowMs: Long,
    )

    /** Reports the progress of a started request. */
    fun onServiceEvent(
        requestId: RequestId,
        event: ServiceEvent,
        nowMs: Long,
    )

    /** Applies a load report of a backend server. Reports may be seconds old. */
    fun onLoadReport(
        report: LoadReport,
        nowMs: Long,
    )

    /** Applies what a backend server has said about the rate of requests that it takes from all routers. */
    fun onRequestLimit(
        statement: RequestLimitStatement,
        nowMs: Long,
    ) {}

    /** Applies what a backend server has said about its shutdown. A leaving server gets only requests that no other server can take. */
    fun onLeaving(
        statement: LeavingStatement,
        nowMs: Long,
    ) {}

    /** Applies a pause that a backend server has asked for. Until it ends, the server gets no requests. */
    fun onPause(
        statement: PauseStatement,
        nowMs: Long,
    ) {}

    /** Replaces the routers that share the request limits of backend servers. */
    fun onRouterFleet(
        fleet: RouterFleet,
        nowMs: Long,
    ) {}

    /** Applies prefix cache events of a model engine. Events may be late or missing. */
    fun onCacheEvents(
        events: CacheEvents,
        nowMs: Long,
    )

    /** Returns the requests to start or to drop now. */
    fun poll(nowMs: Long): List<SchedulerAction>

    /** Returns the time at which [poll] is due if no other call comes before, or null when it is not due. */
    fun nextWakeUpMs(nowMs: Long): Long?

    /** Returns the state for the state dump of the process; empty for schedulers without state. */
    fun dumpState(nowMs: Long): JsonObject = JsonObject(emptyMap())
}
