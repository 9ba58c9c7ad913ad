package org.lycheemount.app.router

import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import org.lycheemount.backend.BackendHttp
import org.lycheemount.backend.DefaultModelEngineClient
import org.lycheemount.backend.DefaultPlainServiceClient
import org.lycheemount.caller.BackendObserver
import org.lycheemount.caller.CallerInterface
import org.lycheemount.caller.CallerLimits
import org.lycheemount.caller.CallerServices
import org.lycheemount.caller.DrainState
import org.lycheemount.caller.WorkDispatcher
import org.lycheemount.common.DefaultClock
import org.lycheemount.common.DefaultEventLog
import org.lycheemount.common.RouterIdentity
import org.lycheemount.config.ConfigurationSnapshot
import org.lycheemount.config.ConfigurationView
import org.lycheemount.platform.http.createPlatformClients
import org.lycheemount.scheduling.createRequestScheduler
import org.lycheemount.settings.RouterSettings
import org.lycheemount.stream.StreamTimeouts
import java.nio.file.Path
import kotlin.io.path.readText

/** One router: creates the parts by [settings], connects them, starts them and ends them in order. */
class RouterProcess(
    private val settings: RouterSettings,
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
    private val observer = BackendObserver(platform.vmDirectory, engine, plainServices, dispatcher, eventLog)
    private val drain = DrainState()
    private val configuration = readConfiguration()
    private val callers = CallerInterface(callerServices())
    private val server = createServer()

    /** Starts all parts and returns the port of the callers' interface. */
    suspend fun start(): Int {
        dispatcher.start(scope)
        observer.start(scope)
        server.start(wait = false)
        val port =
            server.engine
                .resolvedConnectors()
                .first()
                .port
        eventLog.info("router_started", "router_id" to identity.routerId.value, "callers_port" to port)
        return port
    }

    /** Fails readiness, refuses new work, lets every request in progress finish and ends all parts. */
    suspend fun stop() {
        eventLog.info("drain_started", "requests_in_progress" to drain.requestsInProgress)
        drain.announce()
        delay(settings.requests.drainNoticeMs)
        drain.begin()
        drain.awaitIdle()
        server.stop(STOP_GRACE_MS, STOP_TIMEOUT_MS)
        scope.cancel()
        backendHttp.close()
        platform.close()
        eventLog.info("router_stopped", "router_id" to identity.routerId.value)
    }

    private fun callerServices() =
        CallerServices(
            clock = clock,
            configuration = configuration,
            ledger = TemporaryLedger(identity.routerId, clock, eventLog),
            claims = TemporaryClaims(),
            dispatcher = dispatcher,
            engine = engine,
            plainServices = plainServices,
            peers = TemporaryMessenger(identity),
            eventLog = eventLog,
            metricsRegistry = PrometheusRegistry(),
            scope = scope,
            drain = drain,
            limits = callerLimits(),
            notReadyReasons = { if (observer.hasList) emptyList() else listOf("vm_list_not_read") },
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

    private fun readConfiguration(): ConfigurationView {
        val file = settings.configurationFile ?: return ConfigurationView { ConfigurationSnapshot() }
        val snapshot = Json.decodeFromString<ConfigurationSnapshot>(Path.of(file).readText())
        return ConfigurationView { snapshot }
    }

    private fun createServer(): EmbeddedServer<*, *> =
        embeddedServer(
            CIO,
            configure = {
                connector {
                    host = settings.callers.host
                    port = settings.callers.port
                }
            },
        ) { callers.installInto(this) }

    private companion object {
        // No request is in progress any more; the grace only lets last bytes leave.
        private const val STOP_GRACE_MS = 100L
        private const val STOP_TIMEOUT_MS = 1_000L
    }
}
