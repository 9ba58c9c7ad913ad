package org.lycheemount.measure.routing

import org.lycheemount.measure.Measurement
import org.lycheemount.scheduling.RequestScheduler
import org.lycheemount.scheduling.createRequestScheduler
import org.lycheemount.standin.enginemodel.EngineParameters
import java.util.Locale
import java.util.concurrent.Callable
import java.util.concurrent.Executors

private const val THREADS = 4

/** Comma-separated names of the scenarios to run; all of them if it is not set. */
private const val SCENARIO_PROPERTY = "routing.scenarios"
private const val TRACE_SEED = 20_261L
private const val SCHEDULER_SEED = 77L
private const val BURST_TEAM = 0
private const val BURST_FACTOR = 5.0
private const val BURST_US = 20 * SECOND_US

/** Compares the scheduler with round robin and least in flight on the same traces and engine models, in virtual time. */
internal class RoutingMeasurement : Measurement {
    override val name = "routing"
    private val parameters = EngineParameters()

    override fun run(): List<Pair<String, Any>> {
        val selected = scenarios.filter { System.getProperty(SCENARIO_PROPERTY)?.split(',')?.contains(it.name) ?: true }
        val runs = deployments.flatMap { deployment -> selected.map { scenario -> Callable { compare(deployment, scenario) } } }
        val executor = Executors.newFixedThreadPool(THREADS)
        // Runs share no state, so their figures do not depend on the number of threads.
        return executor.invokeAll(runs).flatMap { it.get() }.also { executor.shutdown() }
    }

    private fun compare(
        deployment: Deployment,
        scenario: Scenario,
    ): List<Pair<String, Any>> {
        val burst = if (scenario.fault == Fault.BURST) createBurst(scenario) else null
        val trace =
            TraceGenerator(
                deployment,
                parameters,
                WORKER_SLOTS,
                TRACE_SEED,
            ).generate(scenario.loadFactor, Scenario.ARRIVALS_END_US, burst)
        val product = simulate(deployment, scenario, trace) { createRequestScheduler(deployment.routerZone(it), SCHEDULER_SEED + it) }
        val roundRobin = simulate(deployment, scenario, trace) { BaselineScheduler(BaselineStrategy.ROUND_ROBIN, it) }
        val leastInFlight = simulate(deployment, scenario, trace) { BaselineScheduler(BaselineStrategy.LEAST_IN_FLIGHT, it) }
        val prefix = "${deployment.name}_${scenario.name}"
        val goodputTokensGain = gainPercent(product.goodputTokens, maxOf(roundRobin.goodputTokens, leastInFlight.goodputTokens))
        val goodputRequestsGain = gainPercent(product.goodputRequests, maxOf(roundRobin.goodputRequests, leastInFlight.goodputRequests))
        return product.toFigures(prefix) +
            roundRobin.toFigures("baseline_round_robin_$prefix") +
            leastInFlight.toFigures("baseline_least_in_flight_$prefix") +
            listOf(
                "${prefix}_goodput_tokens_gain_percent" to goodputTokensGain,
                "${prefix}_goodput_requests_gain_percent" to goodputRequestsGain,
            )
    }

    private fun simulate(
        deployment: Deployment,
        scenario: Scenario,
        trace: List<TraceRequest>,
        createScheduler: (Int) -> RequestScheduler,
    ): RunFigures {
        val simulation = FleetSimulation(deployment, trace, createScheduler)
        FleetDriver(simulation, scenario, parameters).setUp()
        return RunFigures(scenario, simulation.run())
    }

    private fun createBurst(scenario: Scenario) = Burst(scenario.faultEndUs - BURST_US, scenario.faultEndUs, BURST_TEAM, BURST_FACTOR)

    private fun gainPercent(
        product: Double,
        baseline: Double,
    ) = String.format(Locale.ROOT, "%.1f", 100 * (product / maxOf(baseline, 1e-9) - 1))
}
