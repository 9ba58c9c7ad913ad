package org.lycheemount.app.router.gateway

import io.ktor.http.Headers
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.cancel
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.backend.BackendHttp
import org.lycheemount.backend.DefaultPassThroughClient
import org.lycheemount.backend.PassThroughCall
import org.lycheemount.backend.PassThroughClient
import org.lycheemount.backend.ResponseHead
import org.lycheemount.backend.ResponseOwner
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
import org.lycheemount.listener.createCallerServer
import org.lycheemount.scheduling.createRequestScheduler

/**
 * Warms up the JVM: before the router reports ready, sends requests through a second instance of the request path to a loopback
 * server.
 *
 * The first requests of a JVM load hundreds of classes and run interpreted code, so they take many times as long as later ones.
 */
internal class GatewayWarmUp(
    private val identity: RouterIdentity,
    private val clock: Clock,
    private val ledger: BudgetLedger,
    private val replenisher: BudgetReplenisher,
) {
    /** Sends up to [requestCount] requests, one after the other, and returns the number that completed within [timeoutMs]. */
    suspend fun run(
        requestCount: Int,
        timeoutMs: Long,
    ): Int {
        val scope = CoroutineScope(Dispatchers.Default + Job())
        val backendHttp = BackendHttp()
        val client = DefaultPassThroughClient(backendHttp)
        val backendServer = LoopbackServer().apply { start(scope) }
        val dispatcher = WorkDispatcher(createRequestScheduler(identity.zoneId, seed = 1), clock)
        val routed = RoutedRequestHandler(routedServices(dispatcher, client))
        val routerServer = createCallerServer("127.0.0.1", port = 0) { routed.installInto(this) }.apply { start() }
        var completedRequests = 0
        try {
            dispatcher.start(scope)
            dispatcher.onBackendServers(listOf(serverAt(backendServer.port)))
            val router = serverAt(routerServer.port())
            withTimeoutOrNull(timeoutMs) {
                repeat(requestCount) { number ->
                    val path = if (number % 2 == 0) STREAM_PATH else PLAIN_PATH
                    client.exchange(router, callTo(path)) { it.body.readUpTo(MAX_RESPONSE_BYTES) }
                    completedRequests++
                }
            }
        } finally {
            scope.cancel()
            withContext(NonCancellable) { routerServer.stop(graceMs = 0, lingerMs = 0) }
            backendServer.close()
            backendHttp.close()
        }
        return completedRequests
    }

    private fun callTo(path: String) = PassThroughCall("POST", "$path/", CALLER_HEADERS, REQUEST_BODY)

    private fun serverAt(port: Int) =
        BackendServer(
            BackendServerId("warm-up"),
            VmId("warm-up"),
            identity.zoneId,
            "127.0.0.1",
            port,
            setOf(BackendTarget.Service(SERVICE_ID)),
        )

    private fun routedServices(
        dispatcher: WorkDispatcher,
        client: PassThroughClient,
    ) = RoutedServices(
        identity = identity,
        clock = clock,
        configuration = { CONFIGURATION },
        ledger = ledger,
        replenisher = replenisher,
        dispatcher = dispatcher,
        client = client,
        dialect = LoopbackDialect,
        eventLog = DiscardingEventLog,
        metricsRegistry = PrometheusRegistry(),
        retryBudgetPolicy = { RetryBudgetPolicy(ratio = 0.0, slack = 0.0, windowMs = 1_000) },
        routerCount = { 1 },
        notReadyReasons = { emptyList() },
    )

    private object LoopbackDialect : RequestDialect {
        override val tokensField = ""

        override fun readMetadata(headers: Headers) = RequestMetadata(null, DEADLINE_MS, null, 0, emptyList())

        override fun attemptHeaders(
            callerHeaders: Headers,
            attempt: AttemptMetadata,
        ): List<Pair<String, String>> = callerHeaders.entries().flatMap { (name, values) -> values.map { name to it } }

        override fun readResponse(
            head: ResponseHead,
            callerRequestId: String?,
            serverId: BackendServerId,
        ) = ResponseMetadata(ResponseOwner.THIS_REQUEST, notRun = null, hasNotRunStatus = false, load = null)

        override fun refusalHead(
            refusal: Refusal,
            callerRequestId: String?,
            mayHaveRun: Boolean,
        ) = ResponseHead(refusal.reason.httpStatus, emptyList())
    }

    private companion object {
        private const val HOST = "warm-up"
        private const val PLAIN_PATH = "/plain"
        private const val STREAM_PATH = LoopbackServer.STREAM_PATH
        private const val MAX_RESPONSE_BYTES = 65_536
        private val CALLER_HEADERS = listOf("Host" to HOST)
        private val REQUEST_BODY = "warm-up".encodeToByteArray()
        private const val DEADLINE_MS = 5_000L
        private val SERVICE_ID = ServiceId("warm-up")
        private val CONFIGURATION =
            ConfigurationSnapshot(
                sequence = 1,
                routes =
                    listOf(PLAIN_PATH to RouteKind.IDEMPOTENT, STREAM_PATH to RouteKind.STREAMING).map { (path, kind) ->
                        Route(
                            RouteId(path),
                            HOST,
                            "$path/",
                            kind,
                            listOf(RouteDestination(SERVICE_ID)),
                            DEADLINE_MS,
                            DEADLINE_MS,
                            isPublic = true,
                        )
                    },
            )
    }
}
