package org.lycheemount.app.router.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.backend.BackendHttp
import org.lycheemount.budget.BudgetMaintenance
import org.lycheemount.caller.DrainState
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterIdentity
import org.lycheemount.listener.CallerServer

/**
 * Shutdown of a [GatewayProcess].
 *
 * @param scope scope of the tasks of the process, which is cancelled at the end.
 */
internal class GatewayShutdown(
    private val identity: RouterIdentity,
    private val drain: DrainState,
    private val callersServer: CallerServer,
    private val operationsListener: OperationsListener,
    private val budgets: BudgetMaintenance,
    private val backendHttp: BackendHttp,
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val eventLog: EventLog,
) {
    /** Goes through the steps of the [ShutdownSchedule] of a process that is killed after [graceMs]. */
    suspend fun run(graceMs: Long) {
        val startedAtMs = clock.monotonicMs()
        val schedule = createShutdownSchedule(graceMs)

        fun untilMs(stepMs: Long) = startedAtMs + stepMs - clock.monotonicMs()

        fun log(
            event: String,
            vararg fields: Pair<String, Any?>,
        ) = eventLog.info(
            event,
            "elapsed_ms" to clock.monotonicMs() - startedAtMs,
            "requests_in_progress" to drain.requestsInProgress,
            *fields,
        )
        log("drain_started")
        drain.announceShutdown()
        delay(untilMs(schedule.noticeEndsMs))
        drain.startDraining(admittedUntilMs = startedAtMs + schedule.responsesEndMs)
        log("drain_refusing")
        withTimeoutOrNull(untilMs(schedule.listenerClosesMs)) { drain.awaitIdle() }
        log("listener_closing")
        val requestsCut =
            coroutineScope {
                launch { closeCallersServer(schedule.connectionLingerMs, untilMs(schedule.connectionsCloseMs)) }
                launch { withTimeoutOrNull(untilMs(schedule.exitMs)) { budgets.drain() } }
                withTimeoutOrNull(untilMs(schedule.responsesEndMs)) { drain.awaitIdle() }
                log("drain_ended")
                drain.endRequests()
            }
        operationsListener.stop()
        backendHttp.close()
        // A selector that still waits for sockets would delay the exit of the JVM.
        withTimeoutOrNull(maxOf(untilMs(schedule.exitMs), MIN_CLOSE_MS)) { scope.coroutineContext.job.cancelAndJoin() }
        log("router_stopped", "router" to identity.routerId.value, "requests_cut" to requestsCut)
    }

    /**
     * Closes the listener, and the connections once they are idle, but at the latest after [lingerMs], or after [requestsLingerMs] if
     * requests are in progress. Until then, requests on open connections get a response.
     */
    private suspend fun closeCallersServer(
        lingerMs: Long,
        requestsLingerMs: Long,
    ) {
        val graceMs = if (drain.requestsInProgress > 0) maxOf(requestsLingerMs, lingerMs) else lingerMs
        callersServer.stop(graceMs, lingerMs)
    }

    private companion object {
        private const val MIN_CLOSE_MS = 100L
    }
}
