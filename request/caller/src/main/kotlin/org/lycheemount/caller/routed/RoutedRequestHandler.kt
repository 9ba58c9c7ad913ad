package org.lycheemount.caller.routed

import com.github.michaelbull.result.getOrElse
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.request.httpMethod
import io.ktor.server.request.uri
import io.ktor.server.response.respondText
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import kotlinx.coroutines.yield
import org.lycheemount.caller.AdmissionController
import org.lycheemount.caller.BodyReader
import org.lycheemount.caller.CallerMetrics
import org.lycheemount.caller.RequestIdFactory
import org.lycheemount.caller.ResponseMemory
import org.lycheemount.caller.ResponseWriter
import org.lycheemount.caller.TokenReserver
import org.lycheemount.caller.TruncatedResponseException
import org.lycheemount.caller.WireOutcome
import org.lycheemount.caller.cancelOnDisconnect
import org.lycheemount.caller.openMemory
import org.lycheemount.common.BudgetId
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.TeamId
import org.lycheemount.config.Route
import org.lycheemount.config.Team
import org.lycheemount.config.TeamLimits
import org.lycheemount.listener.callerConnection
import java.io.IOException

/** Reverse proxy for requests that are routed by host and path and passed through unchanged. */
class RoutedRequestHandler(
    private val services: RoutedServices,
) {
    private val routeMatcher = RouteMatcher(services)
    private val bodyReader = services.run { BodyReader(limits.bodyTimeoutMs, clock, maxBodyBytes) }
    private val requestIds = RequestIdFactory(services.identity)
    private val admissionController = AdmissionController(services.drain, services.clock)
    private val reserver = TokenReserver(services.ledger, services.replenisher, services.clock)
    private val retryLimiter = RetryLimiter(services.retryBudgetPolicy, services.routerCount, services.clock)
    private val metrics = CallerMetrics(services.metricsRegistry, services.drain)
    private val routedMetrics =
        services.run { RoutedMetrics(metricsRegistry, configuration, dispatcher, quarantine, serverStatements) }

    private val overloadMonitor = OverloadMonitor(services.eventLog)

    /** Serves all requests of [application], which a caller server must run. */
    fun installInto(application: Application) {
        application.routing {
            cancelOnDisconnect { route("{...}") { handle { handlingErrors(call) } } }
        }
    }

    /** Responds to the readiness check of the load balancer. */
    suspend fun readiness(call: ApplicationCall) {
        val reasons = notReadyReasons()
        val status = if (reasons.isEmpty()) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
        call.respondText(reasons.joinToString("\n"), status = status)
    }

    private fun notReadyReasons() =
        services.notReadyReasons() +
            listOfNotNull(
                "draining".takeIf { services.drain.isDraining },
                "overloaded".takeIf { overloadMonitor.isOverloaded(services.clock.monotonicMs()) },
            )

    /** Handles [call]; an unexpected exception fails only this request. */
    private suspend fun handlingErrors(call: ApplicationCall) {
        val writer = ResponseWriter(call)
        try {
            handle(call, writer)
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: TruncatedResponseException) {
            throw exception
        } catch (exception: IOException) {
            services.eventLog.info("caller_connection_lost", "error" to exception.message)
            throw exception
        } catch (exception: Exception) {
            services.eventLog.warn("request_failed", "error" to exception.stackTraceToString())
            if (writer.isCommitted) throw exception
            val refusal = Refusal(RefusalReason.BACKEND_FAILED, "internal error")
            writer.writeComplete(services.dialect.refusalHead(refusal, null, mayHaveRun = true), refusal.detail.encodeToByteArray())
        }
    }

    private suspend fun handle(
        call: ApplicationCall,
        writer: ResponseWriter,
    ) {
        val metadata = services.dialect.readMetadata(call.request.headers)
        var isExecuting = false
        try {
            awaitRead(call)
            // The connections to servers are served by these threads, so that each step of an attempt goes on without a change of thread.
            withContext(Dispatchers.Default) {
                admitAndRead(call, writer, metadata) { request ->
                    isExecuting = true
                    execute(writer, request)
                }
            }
        } catch (exception: CancellationException) {
            if (!isExecuting) {
                services.eventLog.warn("request_ended", "request_id" to metadata.loggedId, "attempts" to 0, "outcome" to CALLER_GONE)
            }
            throw exception
        }
    }

    /** Passes the request of [call] to [onRequest] once it is admitted and complete, or refuses it. */
    private suspend fun admitAndRead(
        call: ApplicationCall,
        writer: ResponseWriter,
        metadata: RequestMetadata,
        onRequest: suspend (RoutedRequest) -> Unit,
    ) {
        val enteredAtMs = services.clock.monotonicMs()
        val queueDelayMs = measureQueueDelayMs()
        val arrivedAtMs = enteredAtMs - OverloadPolicy.waitBeforeHandlerMs(queueDelayMs)
        if (services.drain.isDraining) writer.closeConnection()
        val matched = routeMatcher.match(call, metadata).getOrElse { return refuse(writer, metadata, null, it) }
        refusalOfNumbers(matched, metadata)?.let { return refuse(writer, metadata, null, it) }
        val expiresAtMs = expiresAtMs(matched.route, metadata, arrivedAtMs)
        OverloadPolicy
            .refusalFor(queueDelayMs, matched.route.targetLatencyMs, expiresAtMs - services.clock.monotonicMs())
            ?.let { return refuse(writer, metadata, null, it) }
        val admission =
            admissionController
                .admit(matched.team ?: PUBLIC_TEAM, matched.route.routeId.value, expiresAtMs)
                .getOrElse { return refuse(writer, metadata, null, it) }
        val memory = call.openMemory(services.memory, services.clock)
        writer.memory = ResponseMemory(memory, services.clock)
        try {
            val body = bodyReader.read(call, memory).getOrElse { return refuseUnread(writer, metadata, it) }
            val request = requestOf(call, metadata, matched, admission, ReceivedBody(body, memory), arrivedAtMs)
            retryLimiter.onRequest(request.service.serviceId)
            onRequest(request)
        } finally {
            memory.release()
            admission.release()
        }
    }

    /** Returns why a request with the numbers in [metadata] is sent to no model engine, or null. */
    private fun refusalOfNumbers(
        matched: RouteMatch,
        metadata: RequestMetadata,
    ): Refusal? {
        if (matched.service.engine == null) return null
        val detail =
            metadata.violation
                ?: "${services.dialect.tokensField}: prompt tokens and maximum of output tokens are required of a prepaid team"
                    .takeIf { matched.team?.prepaidTokens != null && metadata.maxTokens == null }
        return detail?.let { Refusal(RefusalReason.INVALID_REQUEST, it) }
    }

    /** Refuses a request whose body has not been read, so that its connection cannot be reused. */
    private suspend fun refuseUnread(
        writer: ResponseWriter,
        metadata: RequestMetadata,
        refusal: Refusal,
    ) {
        writer.closeConnection()
        refuse(writer, metadata, null, refusal)
    }

    /**
     * Lets the connection read on, so that the request of a caller that has just closed it is cancelled before it is sent to a server.
     * Throws [CancellationException] if the connection is closed.
     */
    private suspend fun awaitRead(call: ApplicationCall) {
        val connection = call.callerConnection ?: return
        repeat(READING_TURNS) { connection.awaitRead() }
        if (!connection.isOpen) throw CancellationException("the caller has closed its connection")
    }

    /** Lets all tasks that are ready run a few times and returns how long one of them waits. */
    private suspend fun measureQueueDelayMs(): Long {
        val startedAtMs = services.clock.monotonicMs()
        repeat(MEASURED_TURNS) { yield() }
        val nowMs = services.clock.monotonicMs()
        return ((nowMs - startedAtMs) / MEASURED_TURNS).also { overloadMonitor.onRequest(it, nowMs) }
    }

    private fun requestOf(
        call: ApplicationCall,
        metadata: RequestMetadata,
        matched: RouteMatch,
        admission: AdmissionController.Admission,
        body: ReceivedBody,
        arrivedAtMs: Long,
    ) = RoutedRequest(
        requestId = requestIds.next(),
        metadata = metadata,
        route = matched.route,
        service = matched.service,
        admission = admission,
        teamId = matched.team?.teamId,
        method = call.request.httpMethod.value,
        target = call.request.uri,
        callerHeaders = call.request.headers,
        body = body.bytes,
        memory = body.memory,
        arrivedAtMs = arrivedAtMs,
        expiresAtMs = expiresAtMs(matched.route, metadata, arrivedAtMs),
        configurationSequence = matched.sequence,
    )

    private fun expiresAtMs(
        route: Route,
        metadata: RequestMetadata,
        arrivedAtMs: Long,
    ): Long = arrivedAtMs + minOf(route.timeoutMs, metadata.deadlineMs ?: Long.MAX_VALUE)

    private suspend fun execute(
        writer: ResponseWriter,
        request: RoutedRequest,
    ) {
        val execution = RoutedExecution(services, reserver, retryLimiter, routedMetrics, request, writer)
        var outcome: RoutedOutcome? = null
        try {
            outcome = execution.run()
            when (outcome) {
                is RoutedOutcome.NotRun -> refuse(writer, request.metadata, request, outcome.refusal)
                is RoutedOutcome.Unknown -> refuse(writer, request.metadata, request, outcome.refusal, mayHaveRun = true)
                is RoutedOutcome.Responded -> metrics.requests.labelValues(KIND, WireOutcome.RAN.wireName, "ok").inc()
                is RoutedOutcome.Truncated -> throw TruncatedResponseException(outcome.reason)
            }
        } finally {
            logOutcome(request, execution, outcome, writer)
        }
    }

    private fun logOutcome(
        request: RoutedRequest,
        execution: RoutedExecution,
        outcome: RoutedOutcome?,
        writer: ResponseWriter,
    ) {
        val elapsedMs = services.clock.monotonicMs() - request.arrivedAtMs
        val outcomeText = describe(outcome)
        routedMetrics.onEnd(request.route.kind, outcomeText.substringBefore(':'), elapsedMs, execution.firstResponseMs)
        val fields =
            arrayOf(
                "request_id" to request.metadata.loggedId,
                "route" to request.route.routeId.value,
                "team" to request.teamId?.value,
                "config" to request.configurationSequence,
                "prompt_tokens" to request.metadata.promptTokens,
                "shared_prompt" to request.affinityHash?.toULong()?.toString(HEXADECIMAL),
                "attempts" to execution.attemptCount,
                "server" to execution.lastServerId?.value,
                "version" to execution.lastVersion?.value,
                "origin" to execution.origin?.let(StreamResumption::describe),
                "token_wait_ms" to execution.tokenWaitMs,
                "queue_ms" to execution.queueMs,
                "first_ms" to execution.firstResponseMs,
                "total_ms" to elapsedMs,
                *streamFields(execution.streamReport, writer),
                "outcome" to outcomeText,
            )
        // Lines below warning level are dropped first when the log output falls behind.
        val log = services.eventLog
        if (outcome is RoutedOutcome.Responded) log.info("request_ended", *fields) else log.warn("request_ended", *fields)
    }

    private fun streamFields(
        report: StreamReport?,
        writer: ResponseWriter,
    ): Array<Pair<String, Any?>> {
        if (report == null) return emptyArray()
        val end = if (writer.isComplete) "complete" else "cut"
        routedMetrics.onStreamEnd(report.framing, end)
        return arrayOf(
            "framing" to report.framing.name.lowercase(),
            "events" to report.eventCount,
            "last_event" to report.lastEventId,
            "resumed_at" to report.resumedAt.joinToString(",") { it.value },
            "end" to end,
        )
    }

    private fun describe(outcome: RoutedOutcome?): String =
        when (outcome) {
            null -> CALLER_GONE
            is RoutedOutcome.Responded -> "answered_${outcome.httpStatus}"
            is RoutedOutcome.NotRun -> "not_run:${outcome.refusal.reason.wireName}"
            is RoutedOutcome.Unknown -> "unknown:${outcome.refusal.reason.wireName}"
            is RoutedOutcome.Truncated -> "broken_off:${outcome.reason}"
        }

    private suspend fun refuse(
        writer: ResponseWriter,
        metadata: RequestMetadata,
        request: RoutedRequest?,
        refusal: Refusal,
        mayHaveRun: Boolean = false,
    ) {
        val outcome = if (mayHaveRun) WireOutcome.UNKNOWN else WireOutcome.NOT_RUN
        metrics.requests.labelValues(KIND, outcome.wireName, refusal.reason.wireName).inc()
        services.eventLog.warn(
            "request_refused",
            "request_id" to metadata.loggedId,
            "route" to request?.route?.routeId?.value,
            "reason" to refusal.reason.wireName,
            "detail" to refusal.detail,
            "retry_after_ms" to refusal.retryAfterMs,
            "outcome" to outcome.wireName,
            "config" to services.configuration.current().sequence,
        )
        writer.writeComplete(services.dialect.refusalHead(refusal, metadata.requestId, mayHaveRun), refusal.detail.encodeToByteArray())
    }

    private companion object {
        private const val KIND = "routed"
        private const val CALLER_GONE = "caller_gone"

        // The current turn ends, and the next one reads the end of the connection.
        private const val READING_TURNS = 2
        private const val MEASURED_TURNS = 3
        private const val HEXADECIMAL = 16

        // Callers without a key cannot fill the queue of a service that they share with teams.
        private const val PUBLIC_QUEUE_SHARE = 0.5
        private val PUBLIC_TEAM =
            Team(TeamId("public"), BudgetId("public"), limits = TeamLimits.UNLIMITED.copy(queueShare = PUBLIC_QUEUE_SHARE))
    }
}
