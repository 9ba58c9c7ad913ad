package org.lycheemount.caller

import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import org.lycheemount.backend.ModelEngineClient
import org.lycheemount.backend.PlainServiceClient
import org.lycheemount.budget.BudgetLedger
import org.lycheemount.budget.BudgetReplenisher
import org.lycheemount.claims.ClaimRegistry
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.MemoryBudget
import org.lycheemount.common.StateDumpSource
import org.lycheemount.common.createMemoryBudget
import org.lycheemount.config.ConfigurationView
import org.lycheemount.peer.PeerMessenger

/**
 * Dependencies of [CallerApi].
 *
 * @property scope lives as long as the process; runs work that continues after the caller has disconnected.
 * @property memory bounds the memory that requests hold together.
 * @property stateSources additional sources of the `/state` dump.
 * @property notReadyReasons reasons for which `/health/ready` fails; empty when the process is ready.
 */
class CallerServices(
    val clock: Clock,
    val configuration: ConfigurationView,
    val ledger: BudgetLedger,
    val replenisher: BudgetReplenisher,
    val claims: ClaimRegistry,
    val dispatcher: WorkDispatcher,
    val engine: ModelEngineClient,
    val plainServices: PlainServiceClient,
    val peers: PeerMessenger,
    val eventLog: EventLog,
    val metricsRegistry: PrometheusRegistry,
    val scope: CoroutineScope,
    val drain: DrainState = DrainState(),
    val limits: CallerLimits = CallerLimits(),
    val memory: MemoryBudget = createMemoryBudget(),
    val stateSources: List<StateDumpSource> = emptyList(),
    val notReadyReasons: () -> List<String> = { emptyList() },
)
