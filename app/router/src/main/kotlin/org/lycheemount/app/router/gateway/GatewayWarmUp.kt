package org.lycheemount.app.router.gateway

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.statement.bodyAsBytes
import io.ktor.http.ContentType
import io.ktor.http.Headers
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import io.ktor.utils.io.writeStringUtf8
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.backend.BackendHttp
import org.lycheemount.backend.DefaultPassThroughClient
import org.lycheemount.backend.ResponseHead
import org.lycheemount.budget.BudgetLedger
import org.lycheemount.budget.BudgetReplenisher
import org.lycheemount.caller.WorkDispatcher
import org.lycheemount.caller.routed.AttemptMetadata
import org.lycheemount.caller.routed.RequestDialect
import org.lycheemount.caller.routed.RequestMetadata
import org.lycheemount.caller.routed.ResponseMetadata
import org.lycheemount.caller.routed.RetryBudgetPolicy
import org.lycheemount.caller.routed.RoutedRequestHandler
import org.lycheemount.caller.routed.RoutedServices
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.Clock
import org.lycheemount.common.DiscardingEventLog
import org.lycheemount.common.Refusal
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.ServiceId
import org.lycheemount.common.VmId
import org.lycheemount.config.ConfigurationSnapshot
import org.lycheemount.config.Route
import org.lycheemount.config.RouteDestination
import org.lycheemount.config.RouteId
import org.lycheemount.config.RouteKind
import org.lycheemount.scheduling.createRequestScheduler

/**
 * Sends requests through a second instance of the request path, to a server on loopback, before the router reports ready.
 *
 * The first requests of a JVM load hundreds of classes and run interpreted, which takes many times as long as later ones.
 */
internal class GatewayWarmUp(
    private val identity: RouterIdentity,
    private val clock: Clock,
    private val ledger: BudgetLedger,
    private val replenisher: BudgetReplenisher,
) {
    /** Sends up to [requests] requests and returns the number that were answered within [timeLimitMs]. */
    suspend fun run(
        requests: Int,
        timeLimitMs: Long,
    ): Int {
        val scope = CoroutineScope(Dispatchers.Default + Job())
        val backendHttp = BackendHttp()
        val client = HttpClient(io.ktor.client.engine.cio.CIO) { expectSuccess = false }
        val backend = listener { respondingBackend(this) }
        val dispatcher = WorkDispatcher(createRequestScheduler(identity.zoneId, seed = 1), clock)
        val routed = RoutedRequestHandler(services(dispatcher, backendHttp))
        val front = listener { routed.installInto(this) }
        var answered = 0
        try {
            dispatcher.start(scope)
            dispatcher.onBackendServers(listOf(serverAt(backend.port())))
            withTimeoutOrNull(timeLimitMs) {
                repeat(requests) { number ->
                    val path = if (number % 2 == 0) STREAM else PLAIN
                    client.get("http://127.0.0.1:${front.port()}$path/") { header("Host", HOST) }.bodyAsBytes()
                    answered++
                }
            }
        } finally {
            scope.cancel()
            client.close()
            front.stop(0, 0)
            backend.stop(0, 0)
            backendHttp.close()
        }
        return answered
    }

    private fun serverAt(port: Int) =
        BackendServer(
            BackendServerId("warm-up"),
            VmId("warm-up"),
            identity.zoneId,
            "127.0.0.1",
            port,
            setOf(BackendTarget.Service(SERVICE)),
        )

    private fun services(
        dispatcher: WorkDispatcher,
        backendHttp: BackendHttp,
    ) = RoutedServices(
        identity = identity,
        clock = clock,
        configuration = { SNAPSHOT },
        ledger = ledger,
        replenisher = replenisher,
        dispatcher = dispatcher,
        client = DefaultPassThroughClient(backendHttp),
        dialect = LoopbackDialect,
        eventLog = DiscardingEventLog,
        metricsRegistry = PrometheusRegistry(),
        retryBudgetPolicy = { RetryBudgetPolicy(ratio = 0.0, slack = 0.0, windowMs = 1_000) },
        routerCount = { 1 },
        notReadyReasons = { emptyList() },
    )

    private fun respondingBackend(application: io.ktor.server.application.Application) {
        application.routing {
            get("$PLAIN/") { call.respondText("warm-up") }
            get("$STREAM/") {
                call.respondBytesWriter(ContentType.Text.EventStream) {
                    repeat(EVENTS) { number ->
                        writeStringUtf8("id: ${number + 1}\ndata: warm-up\n\n")
                        flush()
                    }
                }
            }
        }
    }

    private fun listener(module: io.ktor.server.application.Application.() -> Unit): EmbeddedServer<*, *> =
        embeddedServer(CIO, configure = { listenOn("127.0.0.1:0") }, module = module).start(wait = false)

    private suspend fun EmbeddedServer<*, *>.port() =
        engine
            .resolvedConnectors()
            .first()
            .port

    private object LoopbackDialect : RequestDialect {
        override fun readMetadata(headers: Headers) = RequestMetadata(null, DEADLINE_MS, null, 0, emptyList(), null)

        override fun attemptHeaders(
            callerHeaders: Headers,
            attempt: AttemptMetadata,
        ): List<Pair<String, String>> = callerHeaders.entries().flatMap { (name, values) -> values.map { name to it } }

        override fun readResponse(
            head: ResponseHead,
            callerRequestId: String?,
            serverId: BackendServerId,
        ) = ResponseMetadata(matchesRequest = true, notRun = null, load = null)

        override fun refusalHead(
            refusal: Refusal,
            callerRequestId: String?,
            mayHaveRun: Boolean,
        ) = ResponseHead(refusal.reason.httpStatus, emptyList())
    }

    private companion object {
        private const val HOST = "warm-up"
        private const val PLAIN = "/plain"
        private const val STREAM = "/stream"
        private const val EVENTS = 20
        private const val DEADLINE_MS = 5_000L
        private val SERVICE = ServiceId("warm-up")
        private val SNAPSHOT =
            ConfigurationSnapshot(
                sequence = 1,
                routes =
                    listOf(PLAIN to RouteKind.IDEMPOTENT, STREAM to RouteKind.STREAMING).map { (path, kind) ->
                        Route(
                            RouteId(path),
                            HOST,
                            "$path/",
                            kind,
                            listOf(RouteDestination(SERVICE)),
                            DEADLINE_MS,
                            DEADLINE_MS,
                            isPublic = true,
                        )
                    },
            )
    }
}
