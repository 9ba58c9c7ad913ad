package org.lycheemount.caller.routed

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.ktor.http.HttpHeaders
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
import org.lycheemount.caller.BodyReader
import org.lycheemount.caller.CallerMetrics
import org.lycheemount.caller.RequestGate
import org.lycheemount.caller.RequestIdFactory
import org.lycheemount.caller.Reserver
import org.lycheemount.caller.TeamAuthenticator
import org.lycheemount.caller.WireOutcome
import org.lycheemount.caller.cancelledWithCaller
import org.lycheemount.common.BudgetId
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.TeamId
import org.lycheemount.config.ConfigurationSnapshot
import org.lycheemount.config.Route
import org.lycheemount.config.RouteTable
import org.lycheemount.config.RoutedService
import org.lycheemount.config.Team
import java.io.IOException

/** The callers' interface for requests that are routed by host and path and passed through unchanged. */
class RoutedInterface(
    private val services: RoutedServices,
) {
    private val authenticator = TeamAuthenticator(services.configuration)
    private val bodyReader = BodyReader(services.limits)
    private val requestIds = RequestIdFactory(services.identity)
    private val gate = RequestGate(services.drain, services.clock)
    private val reserver = Reserver(services.ledger, services.replenisher, services.clock)
    private val retries = RetryGate(services.retryTerms, services.routerCount, services.clock)
    private val metrics = CallerMetrics(services.metricsRegistry, services.drain)
    private val routedMetrics = RoutedMetrics(services.metricsRegistry, services.configuration, services.dispatcher)

    @Volatile
    private var index = RouteIndex(services.configuration.current())

    /** Serves all requests of [application]. Its engine must report closed connections, as CIO and Netty do. */
    fun installInto(application: Application) {
        application.routing {
            cancelledWithCaller { route("{...}") { handle { guarded(call) } } }
        }
    }

    /** Answers the readiness check of the load balancer. */
    suspend fun readiness(call: ApplicationCall) {
        val reasons = notReadyReasons()
        val status = if (reasons.isEmpty()) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
        call.respondText(reasons.joinToString("\n"), status = status)
    }

    private fun notReadyReasons() = services.notReadyReasons() + if (services.drain.isDraining) listOf("draining") else emptyList()

    /** Keeps a fault of one request to that request. */
    private suspend fun guarded(call: ApplicationCall) {
        val writer = AnswerWriter(call)
        try {
            handle(call, writer)
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: BrokenStreamException) {
            throw exception
        } catch (exception: IOException) {
            services.eventLog.info("caller_connection_lost", "error" to exception.message)
            throw exception
        } catch (exception: Exception) {
            services.eventLog.warn("request_failed", "error" to exception.stackTraceToString())
            if (writer.isCommitted) throw exception
            val refusal = Refusal(RefusalReason.BACKEND_FAILED, "internal error")
            writer.whole(services.dialect.refusalHead(refusal, null, mayHaveRun = true), refusal.detail.encodeToByteArray())
        }
    }

    private suspend fun handle(
        call: ApplicationCall,
        writer: AnswerWriter,
    ) {
        val arrivedAtMs = services.clock.monotonicMs()
        val terms = services.dialect.readTerms(call.request.headers)
        if (services.drain.isDraining) writer.closeAfterwards()
        val admitted = admit(call).getOrElse { return refuse(writer, terms, null, it) }
        val entry =
            gate
                .enter(admitted.team ?: PUBLIC_TEAM, admitted.route.routeId.value, expiresAtMs(admitted.route, terms, arrivedAtMs))
                .getOrElse { return refuse(writer, terms, null, it) }
        try {
            val body = bodyReader.read(call).getOrElse { return refuse(writer, terms, null, it) }
            val request = requestOf(call, terms, admitted, entry, body, arrivedAtMs)
            retries.onRequest(request.service.serviceId)
            execute(writer, request)
        } finally {
            entry.leave()
        }
    }

    private fun requestOf(
        call: ApplicationCall,
        terms: RequestTerms,
        admitted: Admitted,
        entry: RequestGate.Entry,
        body: ByteArray,
        arrivedAtMs: Long,
    ) = RoutedRequest(
        requestId = requestIds.next(),
        terms = terms,
        route = admitted.route,
        service = admitted.service,
        entry = entry,
        teamId = admitted.team?.teamId,
        method = call.request.httpMethod.value,
        target = call.request.uri,
        callerHeaders = call.request.headers,
        body = body,
        arrivedAtMs = arrivedAtMs,
        expiresAtMs = expiresAtMs(admitted.route, terms, arrivedAtMs),
        configurationSequence = admitted.sequence,
    )

    private fun expiresAtMs(
        route: Route,
        terms: RequestTerms,
        arrivedAtMs: Long,
    ): Long = arrivedAtMs + minOf(route.timeoutMs, terms.deadlineMs ?: Long.MAX_VALUE)

    private suspend fun execute(
        writer: AnswerWriter,
        request: RoutedRequest,
    ) {
        val execution = RoutedExecution(services, reserver, retries, routedMetrics, request, writer)
        var end: RoutedEnd? = null
        try {
            end = execution.run()
            when (end) {
                is RoutedEnd.NotRun -> refuse(writer, request.terms, request, end.refusal)
                is RoutedEnd.Unknown -> refuse(writer, request.terms, request, end.refusal, mayHaveRun = true)
                is RoutedEnd.Answered -> metrics.requests.labelValues(KIND, WireOutcome.RAN.wireName, "ok").inc()
                is RoutedEnd.BrokenOff -> throw BrokenStreamException(end.reason)
            }
        } finally {
            logEnd(request, execution, end)
        }
    }

    private fun logEnd(
        request: RoutedRequest,
        execution: RoutedExecution,
        end: RoutedEnd?,
    ) {
        val elapsedMs = services.clock.monotonicMs() - request.arrivedAtMs
        val outcome = describe(end)
        routedMetrics.onEnd(request.route.kind, outcome.substringBefore(':'), elapsedMs, execution.firstAnswerMs)
        val fields =
            arrayOf(
                "request_id" to request.terms.requestId,
                "route" to request.route.routeId.value,
                "team" to request.teamId?.value,
                "config" to request.configurationSequence,
                "prompt_tokens" to request.terms.promptTokens,
                "shared_prompt" to request.homeHash?.toULong()?.toString(HEXADECIMAL),
                "attempts" to execution.attemptCount,
                "server" to execution.lastServerId?.value,
                "token_wait_ms" to execution.tokenWaitMs,
                "queue_ms" to execution.queueMs,
                "first_ms" to execution.firstAnswerMs,
                "total_ms" to elapsedMs,
                "outcome" to outcome,
            )
        // Lines below warnings are dropped first when the log output does not keep up.
        val log = services.eventLog
        if (end is RoutedEnd.Answered) log.info("request_ended", *fields) else log.warn("request_ended", *fields)
    }

    private fun describe(end: RoutedEnd?): String =
        when (end) {
            null -> "caller_gone"
            is RoutedEnd.Answered -> "answered_${end.httpStatus}"
            is RoutedEnd.NotRun -> "not_run:${end.refusal.reason.wireName}"
            is RoutedEnd.Unknown -> "unknown:${end.refusal.reason.wireName}"
            is RoutedEnd.BrokenOff -> "broken_off:${end.reason}"
        }

    /** Finds route and team; reads the configuration anew before it refuses what another router may know already. */
    private suspend fun admit(call: ApplicationCall): Result<Admitted, Refusal> {
        val reasons = services.cannotServeReasons()
        if (reasons.isNotEmpty()) return Err(Refusal(RefusalReason.NOT_READY, reasons.joinToString(), NOT_READY_RETRY_MS))
        val first = lookUp(call)
        if (first.isOk) return first
        if (services.refreshConfiguration()) return lookUp(call)
        // The route or key may have been added meanwhile, so "unknown" could be false.
        return Err(Refusal(RefusalReason.NOT_READY, "the configuration could not be confirmed", NOT_READY_RETRY_MS))
    }

    private fun lookUp(call: ApplicationCall): Result<Admitted, Refusal> {
        val current = currentIndex()
        val host = call.request.headers[HttpHeaders.Host].orEmpty()
        val route = current.routes.find(host, call.request.uri.substringBefore('?')) ?: return Err(UNKNOWN_ROUTE)
        val team =
            if (route.isPublic) {
                null
            } else {
                authenticator.authenticate(call.request.headers[HttpHeaders.Authorization]).getOrElse {
                    return Err(it)
                }
            }
        val serviceId = route.pickDestination(Math.random())
        val service = current.snapshot.routedServices[serviceId] ?: RoutedService(serviceId, maxConnections = 1)
        return Ok(Admitted(route, service, team, current.snapshot.sequence))
    }

    private fun currentIndex(): RouteIndex {
        val snapshot = services.configuration.current()
        if (index.snapshot !== snapshot) {
            index = RouteIndex(snapshot)
            services.dispatcher.onWorkClasses(snapshot.workClasses)
        }
        return index
    }

    private suspend fun refuse(
        writer: AnswerWriter,
        terms: RequestTerms,
        request: RoutedRequest?,
        refusal: Refusal,
        mayHaveRun: Boolean = false,
    ) {
        val outcome = if (mayHaveRun) WireOutcome.UNKNOWN else WireOutcome.NOT_RUN
        metrics.requests.labelValues(KIND, outcome.wireName, refusal.reason.wireName).inc()
        services.eventLog.warn(
            "request_refused",
            "request_id" to terms.requestId,
            "route" to request?.route?.routeId?.value,
            "reason" to refusal.reason.wireName,
            "detail" to refusal.detail,
            "retry_after_ms" to refusal.retryAfterMs,
            "outcome" to outcome.wireName,
        )
        writer.whole(services.dialect.refusalHead(refusal, terms.requestId, mayHaveRun), refusal.detail.encodeToByteArray())
    }

    private class RouteIndex(
        val snapshot: ConfigurationSnapshot,
    ) {
        val routes = RouteTable(snapshot.routes)
    }

    private class Admitted(
        val route: Route,
        val service: RoutedService,
        val team: Team?,
        val sequence: Long,
    )

    private companion object {
        private const val KIND = "routed"
        private const val HEXADECIMAL = 16

        // A router that starts has its configuration within a second.
        private const val NOT_READY_RETRY_MS = 500L
        private val UNKNOWN_ROUTE = Refusal(RefusalReason.UNKNOWN_SERVICE, "no route leads here")
        private val PUBLIC_TEAM = Team(TeamId("public"), BudgetId("public"))
    }
}
