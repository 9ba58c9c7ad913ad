package org.lycheemount.app.router.gateway

import com.github.michaelbull.result.fold
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterId
import org.lycheemount.config.ConfigurationView
import org.lycheemount.platform.adapter.decodeColdRemainingMs
import org.lycheemount.scheduling.ColdLimitPolicy
import org.lycheemount.scheduling.ColdServer
import org.lycheemount.scheduling.ColdServers
import org.lycheemount.scheduling.ColdService
import org.lycheemount.scheduling.ColdStatement

/**
 * Follows which servers are cold, by their rows and by what peers tell, and passes them on. Thread-safe.
 *
 * @param limitRequests limits the requests to the cold servers.
 * @param announce tells other routers about servers that they may not know to be cold.
 */
internal class ColdServerMonitor(
    private val configuration: ConfigurationView,
    private val policy: () -> ColdLimitPolicy,
    private val clock: Clock,
    private val eventLog: EventLog,
    private val limitRequests: (List<ColdServer>) -> Unit,
    private val announce: (List<ColdStatement>) -> Unit,
) {
    private val coldServers = ColdServers()
    private val unreadableServerIds = HashSet<BackendServerId>()

    @Volatile
    private var limited = emptyList<ColdServer>()

    /** Number of servers whose requests are limited because they are cold. */
    val coldServerCount: Int get() = synchronized(this) { coldServers.limitedServers(policy(), clock.monotonicMs()).size }

    /** Logs the end of cold times until [scope] is cancelled, also while no rows are read. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                delay(if (limited.isEmpty()) IDLE_CHECK_INTERVAL_MS else CHECK_INTERVAL_MS)
                if (limited.isNotEmpty()) synchronized(this@ColdServerMonitor) { publish(SOURCE_ROW) }
            }
        }
    }

    /** The configuration has changed. */
    @Synchronized
    fun onConfigurationChanged() {
        readServices()
        publish(SOURCE_CONFIGURATION)
    }

    /** The row of [server] was read. */
    @Synchronized
    fun onRow(
        server: BackendServer,
        value: ByteArray,
    ) = decodeColdRemainingMs(value).fold(
        { remainingMs ->
            unreadableServerIds -= server.backendServerId
            coldServers.onRow(server, remainingMs, clock.monotonicMs())
        },
        { error ->
            if (coldServers.serviceOf(server) != null && unreadableServerIds.add(server.backendServerId)) {
                eventLog.warn("server_cold_time_unreadable", "server" to server.backendServerId.value, "error" to error)
            }
        },
    )

    /** Called before the scheduler gets [servers], so that a server that joins cold is limited from its first request on. */
    @Synchronized
    fun onBackendServers(servers: List<BackendServer>) {
        readServices()
        coldServers.onBackendServers(servers, clock.monotonicMs())
        unreadableServerIds.retainAll(servers.mapTo(HashSet()) { it.backendServerId })
        publish(SOURCE_ROW)
    }

    /** Applies what the router [from] has told. */
    @Synchronized
    fun onPeerStatements(
        from: RouterId,
        statements: List<ColdStatement>,
    ) {
        statements.forEach(coldServers::onPeerStatement)
        publish(from.value)
    }

    /** All that is known about cold servers, for routers that may not know it. */
    @Synchronized
    fun statements(): List<ColdStatement> = coldServers.statements(clock.monotonicMs())

    private fun readServices() {
        val services = configuration.current().routedServices
        coldServers.onServices(
            services.filterValues { it.coldRequestsPerS > 0 }.mapValues { ColdService(it.value.coldDurationMs, it.value.coldRequestsPerS) },
        )
    }

    private fun publish(source: String) {
        val nowMs = clock.monotonicMs()
        val current = coldServers.limitedServers(policy(), nowMs)
        if (current != limited) limitRequests(current)
        limited = current
        val changes = coldServers.takeChanges(nowMs)
        if (changes.cold.isNotEmpty()) {
            eventLog.info(
                "server_cold",
                "count" to changes.cold.size,
                "servers" to describe(changes.cold.map { it.backendServerId }),
                "longest_ms" to changes.cold.maxOf { it.endsAtMs } - nowMs,
                "source" to source,
            )
        }
        if (changes.warm.isNotEmpty()) eventLog.info("server_warm", "count" to changes.warm.size, "servers" to describe(changes.warm))
        coldServers.takeUntold(nowMs).takeIf { it.isNotEmpty() }?.let(announce)
    }

    private fun describe(ids: List<BackendServerId>) = ids.take(MAX_LOGGED_SERVERS).joinToString(",") { it.value }

    private companion object {
        private const val CHECK_INTERVAL_MS = 250L

        // Wake-ups cost processor time, and most deployments have no cold servers.
        private const val IDLE_CHECK_INTERVAL_MS = 2_000L
        private const val MAX_LOGGED_SERVERS = 40
        private const val SOURCE_ROW = "row"
        private const val SOURCE_CONFIGURATION = "configuration"
    }
}

/** Registers the metrics of [monitor]. */
internal fun registerColdServerMetrics(
    registry: PrometheusRegistry,
    monitor: ColdServerMonitor,
) {
    GaugeWithCallback
        .builder()
        .name("lycheemount_cold_servers")
        .help("Servers that get a limited rate of requests from all routers because they are cold.")
        .callback { it.call(monitor.coldServerCount.toDouble()) }
        .register(registry)
}
