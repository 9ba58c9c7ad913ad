package org.lycheemount.measure

import org.lycheemount.measure.budgets.BudgetsCostMeasurement
import org.lycheemount.measure.budgets.BudgetsMeasurement
import org.lycheemount.measure.capacity.CapacityMeasurement
import org.lycheemount.measure.claims.ClaimsMeasurement
import org.lycheemount.measure.control.ControlMeasurement
import org.lycheemount.measure.path.PathMeasurement
import org.lycheemount.measure.routing.CacheMoveMeasurement
import org.lycheemount.measure.routing.RoutingCostMeasurement
import org.lycheemount.measure.routing.RoutingMeasurement
import kotlin.system.exitProcess

private val measurements: List<Measurement> =
    listOf(
        BudgetsCostMeasurement(),
        BudgetsMeasurement(),
        CapacityMeasurement(),
        ClaimsMeasurement(),
        ControlMeasurement(),
        PathMeasurement(),
        CacheMoveMeasurement(),
        RoutingCostMeasurement(),
        RoutingMeasurement(),
    )

/** Runs the measurement named by the first argument and prints `name=value` lines. */
fun main(arguments: Array<String>) {
    val measurement = measurements.find { it.name == arguments.firstOrNull() }
    if (measurement == null) {
        System.err.println("usage: measure NAME, with NAME one of: ${measurements.joinToString(" ") { it.name }}")
        exitProcess(2)
    }
    measurement.run().forEach { (name, value) -> println("$name=$value") }
    exitProcess(0)
}
