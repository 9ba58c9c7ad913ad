package org.lycheemount.app.router.gateway

import io.ktor.server.routing.get
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.app.router.CallerBoundsReport
import org.lycheemount.app.router.listenerBounds
import org.lycheemount.app.router.logging.registerLogMetrics
import org.lycheemount.app.router.openListener
import org.lycheemount.backend.BackendHttp
import org.lycheemount.backend.DefaultPassThroughClient
import org.lycheemount.budget.createBudgetLedgerModule
import org.lycheemount.budget.createBudgetLimitWriter
import org.lycheemount.budget.createGatewayBudgetOptions
import org.lycheemount.caller.DrainState
import org.lycheemount.caller.MetricsHandler
import org.lycheemount.caller.WorkDispatcher
import org.lycheemount.caller.routed.RetryBudgetPolicy
import org.lycheemount.caller.routed.RoutedRequestHandler
import org.lycheemount.caller.routed.RoutedServices
import org.lycheemount.caller.routed.ServerStatements
import org.lycheemount.common.BackendServer
import org.lycheemount.common.Clock
import org.lycheemount.common.DefaultClock
import org.lycheemount.common.DefaultEventLog
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.createMemoryBudget
import org.lycheemount.config.PublishedConfiguration
import org.lycheemount.listener.CallerServer
import org.lycheemount.listener.ConnectionLimits
import org.lycheemount.listener.createCallerServer
import org.lycheemount.origins.SharedStreamOrigins
import org.lycheemount.platform.RouterVm
import org.lycheemount.platform.adapter.PlatformRequestDialect
import org.lycheemount.platform.adapter.createOperatorRowWatcher
import org.lycheemount.platform.adapter.createRowFeed
import org.lycheemount.platform.adapter.createRowTableService
import org.lycheemount.platform.adapter.createServerRowWatcher
import org.lycheemount.quarantine.SharedPromptQuarantine
import org.lycheemount.scheduling.ColdLimitPolicy
import org.lycheemount.scheduling.InitialSpeeds
import org.lycheemount.scheduling.createRequestScheduler
import org.lycheemount.settings.GatewaySettings
import java.util.UUID

/**
 * One router process on the users' platform. Creates its components from [settings], wires them, and starts and stops them in order.
 *
 * @param startedAtMs monotonic time of [clock], in milliseconds, at which this process was already running.
 * @param incarnation incarnation of this process, greater than those of earlier processes on its VM.
 */
class GatewayProcess(
    private val settings: GatewaySettings,
    private val clock: Clock = DefaultClock(),
    startedAtMs: Long = clock.monotonicMs(),
    incarnation: Long = clock.wallClockMs(),
) {
    private val eventLog = DefaultEventLog("gateway")

    private val activeSettings = ActiveSettings(settings, eventLog)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val identity = settings.run { RouterIdentity(routerId, vmId, regionId, zoneId, incarnation) }
    private val backendHttp = BackendHttp(connectTimeoutMs = CONNECT_TIMEOUT_MS)
    private val client = DefaultPassThroughClient(backendHttp)
    private val store = createStoreClient(client, settings.storeAddress, clock, eventLog)
    private val table = createRowTableService(store)
    private val configuration = PublishedConfiguration(eventLog)
    private val configurationLag = ConfigurationLag(configuration, clock, eventLog)
    private val dispatcher =
        WorkDispatcher(createRequestScheduler(settings.zoneId, seed = identity.incarnation, INITIAL_SPEEDS, FULL_ENGINE_SLOWDOWN), clock)
    private val peers =
        GatewayPeers(
            table,
            store,
            routerVm(),
            identity,
            clock,
            eventLog,
            configuration,
            dispatcher,
            onNeighbours = { initialConfigurationCheck.onNeighbours(it) },
            onPeerConfiguration = { from, version -> configurationRecovery.onPeerVersion(from, version) },
        )
    private val statementExchange = PeerStatementExchange(peers.messenger, clock, eventLog, peers::tableTimeOffsetMs)
    private val serverStatements =
        ServerStatements(dispatcher, clock, eventLog, statementExchange::announce, statementExchange::announceLeaving)
    private val evacuationExchange = PeerEvacuationExchange(peers.messenger, clock, eventLog)
    private val evacuations = ZoneEvacuationState(dispatcher, clock, eventLog, evacuationExchange::announce)
    private val coldServerExchange = PeerColdServerExchange(peers.messenger, clock, eventLog)
    private val coldServers =
        ColdServerMonitor(configuration, ::coldLimitPolicy, clock, eventLog, dispatcher::onColdServers, coldServerExchange::announce)
    private val budgets =
        createBudgetLedgerModule(
            table,
            peers.directory,
            peers.messenger,
            clock,
            eventLog,
            createGatewayBudgetOptions(),
            startedAtMs = startedAtMs,
            routerCount = { peers.routerCount },
            eras = store.eras,
        )
    private val budgetLimits =
        BudgetLimitUpdater(
            createBudgetLimitWriter(table, store.eras) { "limits-${UUID.randomUUID()}" },
            budgets.maintenance,
            configuration,
            store.eras,
            eventLog,
        )
    private val configurationLoader = ConfigurationLoader(configuration, clock, eventLog, ::onConfigurationChanged)
    private val configurationListener = ConfigurationRowListener(configurationLoader, clock, eventLog)
    private val configurationExchange = PeerConfigurationExchange(peers.messenger, eventLog, configurationLoader::document)

    // Evacuations come first: a router is ready once it has the configuration.
    private val operatorRowListener = CombinedRowListener(ZoneEvacuationRowListener(evacuations, eventLog), configurationListener)
    private val quarantine =
        SharedPromptQuarantine(
            createRowTableService(store, QUARANTINE_TABLE_NAME),
            store.eras,
            createRowFeed(store, QUARANTINE_TABLE_NAME, QUARANTINE_LONG_POLL_MS),
            identity,
            clock,
            eventLog,
            backendHttp::refusesConnections,
        )
    private val streamOrigins =
        SharedStreamOrigins(
            createRowTableService(store, ORIGINS_TABLE_NAME, ORIGINS_PARTITION),
            identity,
            clock,
            eventLog,
            store.eras,
            peers.messenger,
            routerCount = { peers.routerCount },
        )
    private val operatorRowWatcher = createOperatorRowWatcher(store)
    private val configurationRefresher =
        ConfigurationRefresher(clock, operatorRowWatcher::isReceiving, configurationLag::isBehind, operatorRowWatcher::awaitCurrent)
    private val configurationRecovery: ConfigurationRecovery =
        ConfigurationRecovery(
            configuration,
            configurationLag,
            operatorRowWatcher::awaitCurrent,
            configurationExchange::request,
            load = ::loadFromPeer,
        )
    private val initialConfigurationCheck: InitialConfigurationCheck =
        InitialConfigurationCheck(configuration, clock, eventLog, configurationExchange::ask, ::loadFromPeer)
    private val serverListener = ServerRowListener(::onBackendServers, clock, eventLog, onRow = coldServers::onRow)
    private val readiness =
        GatewayReadiness(
            hasConfiguration = configuration::isLoaded,
            isConfigurationChecked = initialConfigurationCheck::isDone,
            hasServers = serverListener::hasServerList,
            isWarmedUp = { warmUpFinished.isCompleted },
            hasBudgets = budgetLimits::isApplied,
            hasStreamOrigins = streamOrigins::isRead,
        )
    private val drain = DrainState()
    private val metricsRegistry =
        PrometheusRegistry().also {
            registerLogMetrics(it)
            registerBudgetMetrics(it, budgets)
            registerConfigurationMetrics(it, configurationLag, configurationListener::confirmedAgeMs, store.eras)
            registerOriginMetrics(it, streamOrigins)
            registerEvacuationMetrics(it, evacuations)
            registerColdServerMetrics(it, coldServers)
        }
    private val metricsHandler = MetricsHandler(metricsRegistry)
    private val memory = createMemoryBudget(settings.limits.memoryShare)
    private val boundsReport: CallerBoundsReport =
        CallerBoundsReport(metricsRegistry, memory, clock, eventLog) { callersServer.openConnections }
    private val routedInterface = RoutedRequestHandler(routedServices())
    private val callersServer: CallerServer =
        settings.callersAddress.let { address ->
            createCallerServer(
                hostOf(address),
                portOf(address),
                bounds = settings.limits.listenerBounds(),
                memory = memory,
                limits = ::connectionLimits,
                onRefused = boundsReport::onConnectionRefused,
            ) { routedInterface.installInto(this) }
        }
    private val warmUp = GatewayWarmUp(identity, clock, budgets.ledger, budgets.maintenance)
    private val warmUpFinished = CompletableDeferred<Unit>()
    private val started = CompletableDeferred<Unit>()
    private val operationsListener =
        OperationsListener(listOf(settings.readinessAddress, settings.metricsAddress), clock) {
            get("/metrics") { metricsHandler.respond(call) }
            get("{...}") { routedInterface.readiness(call) }
        }

    /**
     * Starts all components. The readiness check succeeds once configuration, servers and budgets are known and the warm-up is done.
     * Throws [java.io.IOException] if a listener cannot be opened; the process cannot be used then.
     */
    suspend fun start() {
        openListener("peers", settings.peersAddress) { peers.bind(scope) }
        dispatcher.start(scope)
        budgetLimits.start(scope)
        scope.launch { operatorRowWatcher.watch(operatorRowListener) }
        scope.launch { createServerRowWatcher(store).watch(serverListener) }
        statementExchange.start(scope, serverStatements)
        evacuationExchange.start(scope, evacuations)
        coldServerExchange.start(scope, coldServers)
        configurationExchange.start()
        scope.launch { configurationRecovery.run() }
        scope.launch { initialConfigurationCheck.run() }
        coldServers.start(scope)
        peers.start(scope)
        quarantine.start(scope)
        streamOrigins.start(scope)
        budgets.maintenance.start(scope)
        openListener("callers", settings.callersAddress) { callersServer.start() }
        openListener("readiness and metrics", settings.run { "$readinessAddress, $metricsAddress" }) { operationsListener.start() }
        scope.launch { runWarmUp() }
        eventLog.info(
            "router_started",
            "router" to identity.routerId.value,
            "callers" to settings.callersAddress,
            "zone" to identity.zoneId.value,
        )
        started.complete(Unit)
    }

    /** Applies the retry budget and the drain grace of [changed]. All other settings need a restart. */
    fun onSettingsChanged(changed: GatewaySettings) = activeSettings.onChanged(changed)

    private suspend fun runWarmUp() {
        val startedAtMs = clock.monotonicMs()
        val completedRequests = if (settings.isFirstStart) warmUp.run(WARM_UP_REQUESTS, WARM_UP_TIMEOUT_MS) else 0
        eventLog.info("warmed_up", "requests" to completedRequests, "elapsed_ms" to clock.monotonicMs() - startedAtMs)
        warmUpFinished.complete(Unit)
    }

    /** Waits until the warm-up that [start] launched is done. */
    suspend fun awaitWarmUp() = warmUpFinished.await()

    /**
     * Fails the readiness check, waits until the load balancer and the requests in progress are done, and stops all components. Nothing
     * is accepted or read afterwards, and every request that was read has got a response, unless a stream outlasts the grace period.
     * May be called at any time, also while [start] is running.
     */
    suspend fun stop() {
        withTimeoutOrNull(START_TIMEOUT_MS) { started.await() } ?: return
        val graceMs = (activeSettings.current.drainGraceS * MS_PER_SECOND).toLong()
        GatewayShutdown(identity, drain, callersServer, operationsListener, budgets.maintenance, backendHttp, scope, clock, eventLog)
            .run(graceMs)
    }

    private fun loadFromPeer(
        value: ByteArray,
        peer: RouterId,
    ) = configurationLoader.load(value, "peer" to peer.value)

    private fun onConfigurationChanged() {
        initialConfigurationCheck.onConfigurationChanged()
        coldServers.onConfigurationChanged()
        budgetLimits.onConfigurationChanged()
    }

    private fun coldLimitPolicy() = settings.coldLimit.run { ColdLimitPolicy(overage, slack) }

    private fun onBackendServers(servers: List<BackendServer>) {
        coldServers.onBackendServers(servers)
        streamOrigins.onBackendServers(servers)
        serverStatements.onBackendServers(servers)
        evacuations.onBackendServers(servers)
    }

    private fun routerVm() = settings.run { RouterVm(vmId, routerId, regionId, zoneId, hostOf(peersAddress), portOf(peersAddress)) }

    private fun routedServices() =
        RoutedServices(
            identity = identity,
            clock = clock,
            configuration = configuration,
            ledger = budgets.ledger,
            replenisher = budgets.maintenance,
            dispatcher = dispatcher,
            client = client,
            dialect = PlatformRequestDialect(),
            eventLog = eventLog,
            metricsRegistry = metricsRegistry,
            retryBudgetPolicy = ::retryBudgetPolicy,
            routerCount = { peers.routerCount },
            notReadyReasons = readiness::notReadyReasons,
            cannotServeReasons = readiness::cannotServeReasons,
            refreshConfiguration = configurationRefresher::refresh,
            serverStatements = serverStatements,
            streamOrigins = streamOrigins,
            quarantine = quarantine,
            drain = drain,
            maxBodyBytes = { configuration.current().listenerLimits.maxBodyBytes },
            memory = memory,
            maxEventBytes = settings.limits.maxEventBytes,
            onEventDiscarded = boundsReport::onEventDiscarded,
        )

    private fun retryBudgetPolicy() =
        activeSettings.current.retryBudget.run { RetryBudgetPolicy(ratio, slack, (windowS * MS_PER_SECOND).toLong()) }

    /** Limits of the operator's configuration, which may change at any time. */
    private fun connectionLimits() =
        configuration.current().listenerLimits.run {
            ConnectionLimits(
                maxHeaderBytes,
                headerTimeoutMs = headerTimeoutMs,
                idleTimeoutMs = idleTimeoutMs,
                initialBodyBytes = 0,
                maxDroppedBodyBytes = ConnectionLimits.droppedBodyBytesFor(maxBodyBytes),
            )
        }

    private companion object {
        private const val QUARANTINE_TABLE_NAME = "lycheemount-quarantine"
        private const val ORIGINS_TABLE_NAME = "lycheemount-origins"

        // The store handles the transactions of a partition one after another, and those of budgets are many.
        private const val ORIGINS_PARTITION = "origins"

        // Like that of the operator's row: bounds the time after which a call on an unresponsive connection times out.
        private const val QUARANTINE_LONG_POLL_MS = 1_500L

        // Servers are a few milliseconds away at most. A lost SYN packet would be retransmitted only after a second.
        private const val CONNECT_TIMEOUT_MS = 400L
        private const val MS_PER_SECOND = 1_000.0

        // A start takes a few hundred milliseconds.
        private const val START_TIMEOUT_MS = 2_000L

        // After this many requests most classes of the request path are loaded and its hot code is compiled.
        private const val WARM_UP_REQUESTS = 120
        private const val WARM_UP_TIMEOUT_MS = 3_000L

        // Engines process 64 prompt tokens per millisecond and take 4 ms or more per generated token.
        private val INITIAL_SPEEDS = InitialSpeeds(prefillMsPerToken = 0.03, decodeMsPerToken = 8.0, serviceMs = 25.0)

        // A step of a batch of 64 requests takes 0.05 ms longer than the 4.2 ms of a single request.
        private const val FULL_ENGINE_SLOWDOWN = 0.05
    }
}
