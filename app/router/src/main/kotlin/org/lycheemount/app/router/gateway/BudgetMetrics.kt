package org.lycheemount.app.router.gateway

import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.lycheemount.budget.BudgetModule

/** Registers the metrics of [budgets]. There is a value for each budget that has such tokens. */
internal fun registerBudgetMetrics(
    registry: PrometheusRegistry,
    budgets: BudgetModule,
) {
    GaugeWithCallback
        .builder()
        .name("lycheemount_budget_unbilled_tokens")
        .help("Tokens charged to grants of ended processes without a bill.")
        .labelNames("budget")
        .callback { gauge -> budgets.unbilledTokens().forEach { (budgetId, tokens) -> gauge.call(tokens.toDouble(), budgetId.value) } }
        .register(registry)
    GaugeWithCallback
        .builder()
        .name("lycheemount_budget_set_aside_tokens")
        .help("Tokens that routers may still claim since the store came back from an older copy; part of the unbilled tokens.")
        .labelNames("budget")
        .callback { gauge -> budgets.setAsideTokens().forEach { (budgetId, tokens) -> gauge.call(tokens.toDouble(), budgetId.value) } }
        .register(registry)
}
