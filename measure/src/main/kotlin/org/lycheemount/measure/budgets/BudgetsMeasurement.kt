package org.lycheemount.measure.budgets

import org.lycheemount.measure.Measurement

/** Measures overspend, false refusals and bills in five scenarios of both deployments, and the same for two simpler designs. */
class BudgetsMeasurement : Measurement {
    override val name: String = "budgets"

    override fun run(): List<Pair<String, Any>> = Deployment.ALL.flatMap(::measureDeployment)

    private fun measureDeployment(deployment: Deployment): List<Pair<String, Any>> {
        val figures = mutableListOf<Pair<String, Any>>("${deployment.name}_use_permille_of_worst_case" to computeUsePermille(deployment))
        for (scenario in Scenario.ALL) {
            val runner = ScenarioRunner(deployment, scenario)
            val prefix = "${deployment.name}_${scenario.name}"
            figures += labelFigures(prefix, runner.run { GrantPolicy(it) })
            if (scenario.countsLastPartOnly) figures += labelFigures("alternative_full_reservation_$prefix", runFullReservation(runner))
            figures += labelFigures("baseline_equal_shares_$prefix", runner.run(::EqualSharePolicy))
            figures += labelFigures("baseline_table_per_request_$prefix", runner.run(::TablePerRequestPolicy))
        }
        return figures
    }

    private fun runFullReservation(runner: ScenarioRunner) = runner.run { GrantPolicy(it, reservesIncrementally = false) }

    private fun computeUsePermille(deployment: Deployment): Long {
        val requests = generateRequests(deployment, Scenario.HOUR_MS)
        return requests.sumOf { it.usedTokens } * 1_000 / requests.sumOf { it.worstCaseTokens }
    }

    private fun labelFigures(
        prefix: String,
        figures: ScenarioFigures,
    ): List<Pair<String, Any>> =
        listOf(
            "${prefix}_overspend_tokens" to figures.overspendTokens,
            "${prefix}_false_refusals_permille" to figures.falseRefusalsPermille,
            "${prefix}_truncated_permille" to figures.truncatedPermille,
            "${prefix}_stranded_tokens_permille" to figures.strandedTokensPermille,
            "${prefix}_bills_lost" to figures.lostBills,
            "${prefix}_bills_doubled" to figures.duplicateBills,
            "${prefix}_table_writes_per_second" to "%.2f".format(java.util.Locale.ROOT, figures.tableWritesPerSecond),
        )
}
