package org.lycheemount.measure

/**
 * Least-squares line through measured points.
 *
 * @property rSquared coefficient of determination: the share of the variance that the line explains, from 0 to 1.
 */
internal data class LinearFit(
    val slope: Double,
    val intercept: Double,
    val rSquared: Double,
) {
    /** Returns the value of the line at [x]. */
    fun valueAt(x: Double): Double = intercept + slope * x
}

/** Fits a line to [points], given as (x, y) with at least two different x values. */
internal fun fitLine(points: List<Pair<Double, Double>>): LinearFit {
    val meanX = points.map { it.first }.average()
    val meanY = points.map { it.second }.average()
    val varianceX = points.sumOf { (x, _) -> (x - meanX) * (x - meanX) }
    require(varianceX > 0) { "a line needs two different x values, got ${points.map { it.first }}" }
    val slope = points.sumOf { (x, y) -> (x - meanX) * (y - meanY) } / varianceX
    val intercept = meanY - slope * meanX
    val totalSquares = points.sumOf { (_, y) -> (y - meanY) * (y - meanY) }
    val residualSquares = points.sumOf { (x, y) -> (y - intercept - slope * x).let { it * it } }
    return LinearFit(slope, intercept, if (totalSquares == 0.0) 1.0 else 1 - residualSquares / totalSquares)
}

/** Returns the percentile of [values] at [fraction], from 0 to 1, by the nearest-rank method; null without values. */
internal fun percentile(
    values: Collection<Long>,
    fraction: Double,
): Long? = values.sorted().let { it.getOrNull((Math.ceil(fraction * it.size).toInt() - 1).coerceAtLeast(0)) }
