package org.lycheemount.scheduling

import kotlinx.serialization.json.JsonObject
import org.lycheemount.common.BackendServer
import org.lycheemount.common.RequestId
import org.lycheemount.config.WorkClass

/**
 * Queues requests and assigns them to backend servers by the targets of their classes.
 *
 * A state machine without clock, threads or I/O: each call passes the monotonic time and calls are made one at a time.
 * After any call the owner calls [poll] and carries out the actions.
 */
interface RequestScheduler {
    /** Replaces the classes of work. */
    fun onWorkClasses(workClasses: Collection<WorkClass>)

    /** Replaces the known backend servers; leaving ones get no new work. */
    fun onBackendServers(
        servers: List<BackendServer>,
        nowMs: Long,
    )

    /** Accepts [item] into the queue or refuses it at once when its targets cannot be met. */
    fun submit(
        item: WorkItem,
        nowMs: Long,
    ): SubmitOutcome

    /** Removes a request whose caller is gone. A started one counts as ended. */
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

    /** Takes in a load report of a backend server, which lags. */
    fun onLoadReport(
        report: LoadReport,
        nowMs: Long,
    )

    /** Takes in prefix cache events of a model engine, which come late and with gaps. */
    fun onCacheEvents(
        events: CacheEvents,
        nowMs: Long,
    )

    /** Returns the requests to start or to drop now. */
    fun poll(nowMs: Long): List<SchedulerAction>

    /** Returns when [poll] is due next without any other call, or null. */
    fun nextWakeUpMs(nowMs: Long): Long?

    /** Describes the whole state for the process's dump; empty for schedulers that keep none. */
    fun describe(nowMs: Long): JsonObject = JsonObject(emptyMap())
}
