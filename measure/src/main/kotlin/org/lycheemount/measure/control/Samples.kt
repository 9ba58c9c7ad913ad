package org.lycheemount.measure.control

import kotlin.math.ceil

/** Percentiles of a list of times. */
internal class Samples {
    private val values = mutableListOf<Long>()

    fun add(value: Long) {
        values += value
    }

    fun figures(prefix: String): List<Pair<String, Any>> =
        listOf("${prefix}_p50" to percentile(0.5), "${prefix}_p99" to percentile(0.99), "${prefix}_worst" to (values.maxOrNull() ?: -1))

    private fun percentile(share: Double): Long {
        if (values.isEmpty()) return -1
        return values.sorted()[(ceil(share * values.size).toInt() - 1).coerceAtLeast(0)]
    }
}

/** Slope of the straight line through [points] with the least squared error. */
internal fun slope(points: List<Pair<Double, Double>>): Double {
    val meanX = points.map { it.first }.average()
    val meanY = points.map { it.second }.average()
    return points.sumOf { (x, y) -> (x - meanX) * (y - meanY) } / points.sumOf { (x, _) -> (x - meanX) * (x - meanX) }
}
