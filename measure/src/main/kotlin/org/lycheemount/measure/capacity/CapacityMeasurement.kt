package org.lycheemount.measure.capacity

import org.lycheemount.measure.Measurement

/** System property with comma-separated names of the parts to run; without it, all parts run. */
private const val PARTS_PROPERTY = "capacity.parts"

/** Measures slopes of memory, CPU time and table use, from which docs/CAPACITY.md derives its figures. */
internal class CapacityMeasurement : Measurement {
    override val name = "capacity"

    private val parts: Map<String, () -> List<Pair<String, Any>>> =
        mapOf(
            "configuration" to ::configurationSlopes,
            "membership" to ::membershipSlopes,
            "scheduler" to ::schedulerSlopes,
            "stream" to ::streamSlopes,
            "budget" to ::budgetSlopes,
            "claims" to ::claimSlopes,
        )

    override fun run(): List<Pair<String, Any>> {
        val selected = System.getProperty(PARTS_PROPERTY)?.split(',') ?: parts.keys
        return selected.flatMap { part ->
            val startedMs = System.currentTimeMillis()
            parts.getValue(part)().also { System.err.println("capacity: $part took ${System.currentTimeMillis() - startedMs} ms") }
        }
    }
}
