package org.lycheemount.app.router

import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.lycheemount.app.router.logging.registerLogMetrics
import org.lycheemount.backend.BackendHttp
import org.lycheemount.backend.DefaultModelEngineClient
import org.lycheemount.backend.DefaultPlainServiceClient
import org.lycheemount.budget.BudgetOptions
import org.lycheemount.budget.createBudgetAdministration
import org.lycheemount.budget.createBudgetLedgerModule
import org.lycheemount.caller.BackendObserver
import org.lycheemount.caller.CallerApi
import org.lycheemount.caller.CallerLimits
import org.lycheemount.caller.CallerServices
import org.lycheemount.caller.DrainState
import org.lycheemount.caller.WorkDispatcher
import org.lycheemount.claims.createClaims
import org.lycheemount.common.DefaultClock
import org.lycheemount.common.DefaultEventLog
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.createMemoryBudget
import org.lycheemount.listener.CallerServer
import org.lycheemount.listener.ConnectionLimits
import org.lycheemount.peer.socket.DefaultPeerMessenger
import org.lycheemount.peer.socket.PeerSecret
import org.lycheemount.placement.PlacementDependencies
import org.lycheemount.platform.http.createPlatformClients
import org.lycheemount.scheduling.createRequestScheduler
import org.lycheemount.settings.ListenerSettings
import org.lycheemount.settings.RouterSettings
import org.lycheemount.stream.StreamTimeouts
import java.nio.file.Path
import java.util.UUID
import kotlin.io.path.readBytes
import kotlin.random.Random

/**
 * One router process. Creates its components from [settings], wires them, and starts and stops them in order.
 *
 * @param requestShutdown called when an operator requests a drain. It must terminate the process, and termination must call [stop].
 */
class RouterProcess(
    private val settings: RouterSettings,
    private val requestShutdown: () -> Unit = {},
) {
    private val clock = DefaultClock()
    private val eventLog = DefaultEventLog("router")
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val identity =
        RouterIdentity(settings.routerId, settings.vmId, settings.regionId, settings.zoneId, incarnation = clock.wallClockMs())
    private val platform =
        settings.platform.run { createPlatformClients(tableUrl, objectStoreUrl, vmListUrl, weightStoreUrl, callTimeoutMs) }
    private val backendHttp = BackendHttp()
    private val engine = DefaultModelEngineClient(backendHttp)
    private val plainServices = DefaultPlainServiceClient(backendHttp)
    private val dispatcher = WorkDispatcher(createRequestScheduler(settings.zoneId, seed = identity.incarnation), clock)
    private val engineFleet = BackendEngineFleet(engine) { dispatcher.backendServers }
    private val observer = BackendObserver(platform.vmDirectory, engine, plainServices, dispatcher, eventLog)
    private val drain = DrainState()
    private val peerSecret = PeerSecret(Path.of(settings.peerSecretFile).readBytes())
    private val peers =
        DefaultPeerMessenger(
            identity,
            { peerSecret },
            eventLog,
            tls =
                settings.peers.tls?.let {
                    createReloadingTlsContext(it, eventLog)
                },
        )
    private val budgets = createBudgetLedgerModule(platform.table, platform.vmDirectory, peers, clock, eventLog, budgetOptions())
    private val controlPlane =
        ControlPlane(platform.table, platform.vmDirectory, peers, clock, eventLog, settings.configurationFile)
    private val configuration = controlPlane.configuration
    private val claims = createClaims(platform.table, peers, clock, eventLog, controlPlane::hasEnded)
    private val placement = PlacementSupervisor(configuration, engineFleet, placementDependencies())
    private val memory = createMemoryBudget(settings.limits.memoryShare)
    private val metricsRegistry = PrometheusRegistry().also(::registerLogMetrics)
    private val boundsReport: CallerBoundsReport =
        CallerBoundsReport(metricsRegistry, memory, clock, eventLog) { callerServer.openConnections }
    private val callers = CallerApi(callerServices())
    private val connectionLimits =
        ConnectionLimits(
            initialBodyBytes = 0,
            maxDroppedBodyBytes = ConnectionLimits.droppedBodyBytesFor(settings.requests.maxBodyBytes),
        )
    private val callerServer: CallerServer =
        createHttpServer(settings.callers, eventLog, settings.limits.listenerBounds(), memory, {
            connectionLimits
        }, boundsReport::onConnectionRefused) { callers.installInto(this) }
    private val admin = adminListener()

    /** Requests admitted and not yet settled. */
    val requestsInProgress: Int get() = drain.requestsInProgress

    /**
     * Starts all components and returns the port of the caller listener. Throws [java.io.IOException] if a listener cannot be opened; the
     * process cannot be used then.
     */
    suspend fun start(): Int {
        openListener("peers", settings.peers) { peers.bind(scope, it.host, it.port) }
        dispatcher.start(scope)
        observer.start(scope)
        peers.start()
        controlPlane.start(scope)
        scope.launch { prefetchBudgets() }
        budgets.maintenance.start(scope)
        claims.start(scope)
        placement.start(scope)
        openListener("callers", settings.callers) { callerServer.start() }
        val adminPort = openListener("administration", settings.admin) { admin.start() }
        val port = callerServer.port()
        eventLog.info("router_started", "router_id" to identity.routerId.value, "callers_port" to port, "admin_port" to adminPort)
        return port
    }

    /** Fails the readiness check, refuses new requests, waits for the requests in progress and stops all components. */
    suspend fun stop() {
        eventLog.info("drain_started", "requests_in_progress" to drain.requestsInProgress)
        drain.announceShutdown()
        delay(settings.requests.drainNoticeMs)
        drain.startDraining()
        drain.awaitIdle()
        budgets.maintenance.drain()
        claims.close()
        callerServer.stop(STOP_GRACE_MS, STOP_LINGER_MS)
        admin.stop()
        scope.cancel()
        backendHttp.close()
        platform.close()
        eventLog.info("router_stopped", "router_id" to identity.routerId.value)
    }

    private inline fun <T> openListener(
        listener: String,
        address: ListenerSettings,
        open: (ListenerSettings) -> T,
    ): T = openListener(listener, "${address.host}:${address.port}") { open(address) }

    private fun callerServices() =
        CallerServices(
            clock = clock,
            configuration = configuration,
            ledger = budgets.ledger,
            replenisher = budgets.maintenance,
            claims = claims.registry,
            dispatcher = dispatcher,
            engine = engine,
            plainServices = plainServices,
            peers = peers,
            eventLog = eventLog,
            metricsRegistry = metricsRegistry,
            memory = memory,
            scope = scope,
            drain = drain,
            limits = callerLimits(),
            stateSources = controlPlane.stateSources + budgets.stateDump + claims.stateDump,
            notReadyReasons = { controlPlane.notReadyReasons() + if (observer.hasServerList) emptyList() else listOf("vm_list_not_read") },
        )

    private fun placementDependencies() =
        PlacementDependencies(identity, platform.table, platform.weightStore, engineFleet, clock, eventLog, Random(identity.incarnation))

    private suspend fun prefetchBudgets() {
        while (true) {
            budgets.maintenance.prefetchGrants(
                configuration
                    .current()
                    .teams.values
                    .mapTo(HashSet()) { it.budgetId },
            )
            delay(PREFETCH_INTERVAL_MS)
        }
    }

    private fun budgetOptions() =
        settings.budget.run {
            BudgetOptions(
                expectedOutageMs,
                outageGraceMs,
                driftMarginMs = outageGraceMs / 10,
                flushIntervalMs = flushIntervalMs,
                ceilingReleaseMs = expectedOutageMs,
            )
        }

    private fun adminListener() =
        AdminListener(
            settings = settings,
            identity = identity,
            clock = clock,
            configuration = controlPlane.configurationService,
            budgets = createBudgetAdministration(platform.table) { "admin-${UUID.randomUUID()}" },
            stateSources = controlPlane.stateSources + budgets.stateDump,
            eventLog = eventLog,
            notReadyReasons = controlPlane::notReadyReasons,
            startDrain = requestShutdown,
        )

    private fun callerLimits() =
        settings.requests.run {
            CallerLimits(
                maxBodyBytes,
                bodyTimeoutMs,
                serviceTimeoutMs,
                reservationStepTokens,
                StreamTimeouts(firstChunkTimeoutMs, chunkTimeoutMs),
            )
        }

    private companion object {
        // All requests have finished by then. The grace period only lets the last response bytes be sent.
        private const val STOP_GRACE_MS = 100L
        private const val STOP_LINGER_MS = 900L
        private const val PREFETCH_INTERVAL_MS = 1_000L
    }
}
