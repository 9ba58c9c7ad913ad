package org.lycheemount.measure.budgets

import org.lycheemount.measure.Measurement

/** Overspend, false refusals and bills in five scenarios of both deployments, beside two simpler designs. */
class BudgetsMeasurement : Measurement {
    override val name: String = "budgets"

    override fun run(): List<Pair<String, Any>> =
        Deployment.ALL.flatMap { deployment ->
            Scenario.ALL.flatMap { scenario ->
                val runner = ScenarioRunner(deployment, scenario)
                val prefix = "${deployment.name}_${scenario.name}"
                named(prefix, runner.run(::GrantPolicy)) +
                    named("baseline_equal_shares_$prefix", runner.run(::EqualSharePolicy)) +
                    named("baseline_table_per_request_$prefix", runner.run(::TablePerRequestPolicy))
            }
        }

    private fun named(
        prefix: String,
        figures: ScenarioFigures,
    ): List<Pair<String, Any>> =
        listOf(
            "${prefix}_overspend_tokens" to figures.overspendTokens,
            "${prefix}_false_refusals_permille" to figures.falseRefusalsPermille,
            "${prefix}_truncated_permille" to figures.truncatedPermille,
            "${prefix}_stranded_tokens_permille" to figures.strandedPermille,
            "${prefix}_bills_lost" to figures.billsLost,
            "${prefix}_bills_doubled" to figures.billsDoubled,
            "${prefix}_table_writes_per_second" to "%.2f".format(java.util.Locale.ROOT, figures.tableWritesPerSecond),
        )
}
