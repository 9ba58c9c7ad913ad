package org.lycheemount.caller.routed

import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.lycheemount.backend.PassThroughClient
import org.lycheemount.budget.BudgetLedger
import org.lycheemount.budget.BudgetReplenisher
import org.lycheemount.caller.CallerLimits
import org.lycheemount.caller.DrainState
import org.lycheemount.caller.WorkDispatcher
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.MemoryBudget
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.createMemoryBudget
import org.lycheemount.config.ConfigurationView
import org.lycheemount.origins.StreamOrigins
import org.lycheemount.origins.UnversionedStreamOrigins
import org.lycheemount.quarantine.DisabledPromptQuarantine
import org.lycheemount.quarantine.PromptQuarantine

/**
 * Dependencies of [RoutedRequestHandler].
 *
 * @property retryBudgetPolicy current parameters of the retry budget.
 * @property routerCount number of routers that share the retry budget.
 * @property notReadyReasons reasons for which the readiness check fails, so that new connections go to other routers; empty when the
 *   process is ready.
 * @property cannotServeReasons reasons for which every request is refused; empty while requests can be served.
 * @property refreshConfiguration makes sure that the active configuration is current, before a request is refused for an unknown route or
 *   key. Its argument is the longest useful wait in milliseconds. Returns false if that could not be confirmed.
 * @property serverStatements what backend servers say about themselves in their responses.
 * @property streamOrigins tells on which software version a stream began that a caller resumes.
 * @property quarantine keeps prompts on which servers crash away from further servers.
 * @property maxBodyBytes current maximum size of a request body.
 * @property memory bounds the memory that requests hold together.
 * @property maxEventBytes size in bytes beyond which an event of a stream counts as one without end.
 * @property onEventDiscarded called when a stream is broken off at an event that is too large.
 */
class RoutedServices(
    val identity: RouterIdentity,
    val clock: Clock,
    val configuration: ConfigurationView,
    val ledger: BudgetLedger,
    val replenisher: BudgetReplenisher,
    val dispatcher: WorkDispatcher,
    val client: PassThroughClient,
    val dialect: RequestDialect,
    val eventLog: EventLog,
    val metricsRegistry: PrometheusRegistry,
    val retryBudgetPolicy: () -> RetryBudgetPolicy,
    val routerCount: () -> Int,
    val notReadyReasons: () -> List<String>,
    val cannotServeReasons: () -> List<String> = notReadyReasons,
    val refreshConfiguration: suspend (patienceMs: Long) -> Boolean = { true },
    val serverStatements: ServerStatements = ServerStatements(dispatcher, clock, eventLog),
    val streamOrigins: StreamOrigins = UnversionedStreamOrigins,
    val quarantine: PromptQuarantine = DisabledPromptQuarantine,
    val drain: DrainState = DrainState(),
    val limits: CallerLimits = CallerLimits(),
    val maxBodyBytes: () -> Int = { limits.maxBodyBytes },
    val memory: MemoryBudget = createMemoryBudget(),
    val maxEventBytes: Int = MAX_EVENT_BYTES,
    val onEventDiscarded: () -> Unit = {},
)

// Events have up to some kilobytes.
private const val MAX_EVENT_BYTES = 65_536
