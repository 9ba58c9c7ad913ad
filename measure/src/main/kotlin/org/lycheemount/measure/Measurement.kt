package org.lycheemount.measure

/** One measurement that `bin/measure` can run. */
interface Measurement {
    /** Argument that selects this measurement. */
    val name: String

    /** Runs the measurement and returns its figures by name, in the order in which they are printed at the end of the output. */
    fun run(): List<Pair<String, Any>>
}
