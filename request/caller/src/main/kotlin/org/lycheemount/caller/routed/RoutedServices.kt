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
import org.lycheemount.common.RouterIdentity
import org.lycheemount.config.ConfigurationView

/**
 * What the interface for routed requests works with.
 *
 * @property retryBudgetPolicy terms of the retry budget in force.
 * @property routerCount number of routers that share the retry budget.
 * @property notReadyReasons reasons why other routers had better take new connections; empty when the process is ready.
 * @property cannotServeReasons reasons why no request that comes all the same can be served; empty while some can.
 * @property refreshConfiguration reads the configuration anew; called before a request is refused for an unknown route or key.
 *   False when it could not be read.
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
    val refreshConfiguration: suspend () -> Boolean = { true },
    val drain: DrainState = DrainState(),
    val limits: CallerLimits = CallerLimits(),
)
