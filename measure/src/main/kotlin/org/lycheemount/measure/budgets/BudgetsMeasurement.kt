package org.lycheemount.measure.budgets

import org.lycheemount.measure.Measurement

/** Overspend, false refusals and bills in five scenarios of both deployments, beside two simpler designs. */
class BudgetsMeasurement : Measurement {
    override val name: String = "budgets"

    override fun run(): List<Pair<String, Any>> = Deployment.ALL.flatMap(::figuresOf)

    private fun figuresOf(deployment: Deployment): List<Pair<String, Any>> {
        val figures = mutableListOf<Pair<String, Any>>("${deployment.name}_use_permille_of_worst_case" to usePermille(deployment))
        for (scenario in Scenario.ALL) {
            val runner = ScenarioRunner(deployment, scenario)
            val prefix = "${deployment.name}_${scenario.name}"
            figures += named(prefix, runner.run { GrantPolicy(it) })
            if (scenario.lastPartOnly) figures += named("alternative_full_reservation_$prefix", fullReservation(runner))
            figures += named("baseline_equal_shares_$prefix", runner.run(::EqualSharePolicy))
            figures += named("baseline_table_per_request_$prefix", runner.run(::TablePerRequestPolicy))
        }
        return figures
    }

    private fun fullReservation(runner: ScenarioRunner) = runner.run { GrantPolicy(it, inSteps = false) }

    private fun usePermille(deployment: Deployment): Long {
        val requests = requestsOf(deployment, Scenario.HOUR_MS)
        return requests.sumOf { it.usedTokens } * 1_000 / requests.sumOf { it.worstCaseTokens }
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
