package org.lycheemount.caller.routed

import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.lycheemount.backend.BackendHttp
import org.lycheemount.backend.DefaultPassThroughClient
import org.lycheemount.caller.DrainState
import org.lycheemount.caller.FakeLedger
import org.lycheemount.caller.FakeScheduler
import org.lycheemount.caller.WorkDispatcher
import org.lycheemount.common.BudgetId
import org.lycheemount.common.Clock
import org.lycheemount.common.DefaultClock
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.ServiceId
import org.lycheemount.common.TeamId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.config.ConfigurationSnapshot
import org.lycheemount.config.EngineProperties
import org.lycheemount.config.Route
import org.lycheemount.config.RouteDestination
import org.lycheemount.config.RouteId
import org.lycheemount.config.RouteKind
import org.lycheemount.config.RoutedService
import org.lycheemount.config.Team
import org.lycheemount.listener.createCallerServer
import org.lycheemount.testing.FakeEventLog
import org.lycheemount.testing.sha256Hex
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.fail

/**
 * [RoutedRequestHandler] between callers and two scripted backend servers, over real sockets.
 *
 * @param handlerClock clock of the handler; timeouts run in real time.
 */
internal abstract class RoutedFixture(
    protected val handlerClock: Clock = DefaultClock(),
) {
    protected val first = RawServer("i-1")
    protected val second = RawServer("i-2")
    protected val ledger = FakeLedger()
    protected val log = FakeEventLog()

    // The product's timeout of one second is no matter of these tests.
    private val backendHttp = BackendHttp(connectTimeoutMs = 60_000)
    protected val scheduler = FakeScheduler()
    protected val quarantine = RecordingQuarantine()
    protected val origins = FakeStreamOrigins()
    protected val dispatcher = WorkDispatcher(scheduler, DefaultClock())
    protected val statements = ServerStatements(dispatcher, DefaultClock(), log)
    private val snapshot =
        ConfigurationSnapshot(
            sequence = 1,
            teams = mapOf(TeamId("t1") to Team(TeamId("t1"), BudgetId("b1"), setOf(sha256Hex("key")), prepaidTokens = 1_000_000)),
            routes =
                listOf(
                    route("/order/", RouteKind.NON_IDEMPOTENT),
                    route("/read/", RouteKind.IDEMPOTENT),
                    route("/chat/", RouteKind.STREAMING),
                    route("/draft/", RouteKind.STREAMING).copy(isResumable = true),
                    route("/long/", RouteKind.STREAMING).copy(isResumable = true, maxAttempts = 4),
                    route("/urgent/", RouteKind.STREAMING).copy(isResumable = true, timeoutMs = 400),
                    route("/split/", RouteKind.STREAMING).copy(
                        isResumable = true,
                        destinations = listOf(RouteDestination(ServiceId("s1")), RouteDestination(ServiceId("s2"))),
                    ),
                    route("/slow/", RouteKind.NON_IDEMPOTENT).copy(timeoutMs = 150),
                    route("/late/", RouteKind.NON_IDEMPOTENT).copy(timeoutMs = 2_000),
                    route("/brief/", RouteKind.STREAMING).copy(timeoutMs = 1_000),
                    route("/public/", RouteKind.NON_IDEMPOTENT).copy(timeoutMs = 60_000, targetLatencyMs = 60_000, isPublic = true),
                ),
            routedServices = mapOf(ServiceId("s1") to RoutedService(ServiceId("s1"), 100, EngineProperties(tokensPerEvent = 5))),
        )

    /** Times that the configuration was read. Each request reads it after its handler has started. */
    protected val configurationReads = AtomicInteger()
    protected val drain = DrainState()

    /** What a request for an unknown route or key waits for. */
    @Volatile
    protected var refreshConfiguration: suspend () -> Boolean = { true }
    private val handler =
        RoutedRequestHandler(
            RoutedServices(
                identity = RouterIdentity(RouterId("r"), VmId("v"), RegionId("g"), ZoneId("z1"), 1),
                clock = handlerClock,
                configuration = {
                    configurationReads.incrementAndGet()
                    snapshot
                },
                ledger = ledger,
                replenisher = ledger,
                dispatcher = dispatcher,
                client = DefaultPassThroughClient(backendHttp),
                dialect = TestDialect,
                eventLog = log,
                metricsRegistry = PrometheusRegistry(),
                retryBudgetPolicy = { RetryBudgetPolicy(ratio = 1.0, slack = 100.0, windowMs = 1_000) },
                routerCount = { 1 },
                notReadyReasons = { emptyList() },
                refreshConfiguration = { refreshConfiguration() },
                serverStatements = statements,
                streamOrigins = origins,
                quarantine = quarantine,
                drain = drain,
            ),
        )
    private val server = createCallerServer("127.0.0.1", port = 0) { handler.installInto(this) }.apply { start() }

    init {
        dispatcher.onBackendServers(listOf(first.describe(), second.describe()))
    }

    @AfterEach
    fun close() {
        runBlocking { server.stop(graceMs = 0, lingerMs = 0) }
        backendHttp.close()
        first.close()
        second.close()
    }

    private fun route(
        prefix: String,
        kind: RouteKind,
    ) = Route(RouteId(prefix), "h", prefix, kind, listOf(RouteDestination(ServiceId("s1"))), 5_000, TARGET_LATENCY_MS, maxAttempts = 2)

    private fun port(): Int = runBlocking { server.port() }

    /** Sends a request. It states a token of each kind unless [headers] say otherwise or [statesTokens] is false. */
    protected fun open(
        path: String,
        vararg headers: String,
        hasBody: Boolean = false,
        id: String = "r",
        statesTokens: Boolean = headers.none { it.startsWith("X-Tokens:") },
    ) = Socket("127.0.0.1", port()).apply {
        val lines =
            listOf("POST $path HTTP/1.1", "Host: h", "Authorization: Bearer key", "X-Id: $id") +
                (if (hasBody) emptyList() else listOf("Content-Length: 0")) +
                (if (statesTokens) listOf("X-Tokens: 1,1") else emptyList()) + headers
        getOutputStream().write(lines.joinToString("\r\n", postfix = "\r\n\r\n").encodeToByteArray())
    }

    /** Sends a request and returns all bytes up to the end of the connection. */
    protected fun exchange(
        path: String,
        vararg headers: String,
        id: String = "r",
        statesTokens: Boolean = headers.none { it.startsWith("X-Tokens:") },
    ): String =
        open(path, "Connection: close", *headers, id = id, statesTokens = statesTokens)
            .use {
                runCatching { it.getInputStream().readAllBytes() }.getOrDefault(ByteArray(0))
            }.decodeToString()

    protected fun completeResponse(
        body: String,
        status: String = "200 OK",
        id: String = "r",
    ): RawServer.Connection.() -> Unit = { head(status, "Content-Length: ${body.length}", "X-Id: $id", "X-Mark: m").also { write(body) } }

    protected fun body(response: String) = response.substringAfter("\r\n\r\n")

    /** Waits for the log line that ends the request, which may be written after the caller's last byte, and returns its outcome. */
    protected fun awaitLoggedOutcome(): Any? = awaitLoggedOutcomes(1).firstOrNull()

    /** Waits for the log lines that end [count] requests, and returns their outcomes. */
    protected fun awaitLoggedOutcomes(count: Int): List<Any?> {
        repeat(LOG_POLLS) {
            val outcomes = log.events.filter { (name, _) -> name == "request_ended" }.map { (_, fields) -> fields["outcome"] }
            if (outcomes.size >= count) return outcomes
            Thread.sleep(LOG_POLL_MS)
        }
        return emptyList()
    }

    /** Waits until [condition] holds, and fails if it does not for a minute. */
    protected fun await(condition: () -> Boolean) {
        repeat(LOG_POLLS) {
            if (condition()) return
            Thread.sleep(LOG_POLL_MS)
        }
        fail("the condition did not hold in time")
    }

    private companion object {
        private const val LOG_POLLS = 6_000

        // A router that is short of processor time refuses requests that it would delay beyond half of the target.
        private const val TARGET_LATENCY_MS = 60_000L
        private const val LOG_POLL_MS = 10L
    }
}
