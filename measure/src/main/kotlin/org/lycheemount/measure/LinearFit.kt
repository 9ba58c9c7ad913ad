package org.lycheemount.measure

/**
 * Least-squares line through measured points.
 *
 * @property determination share of the variance that the line explains, from 0 to 1.
 */
internal data class LinearFit(
    val slope: Double,
    val intercept: Double,
    val determination: Double,
) {
    /** Returns the value of the line at [x]. */
    fun at(x: Double): Double = intercept + slope * x
}

/** Fits a line to [points] of at least two different abscissae. */
internal fun fitLine(points: List<Pair<Double, Double>>): LinearFit {
    val meanX = points.map { it.first }.average()
    val meanY = points.map { it.second }.average()
    val varianceX = points.sumOf { (x, _) -> (x - meanX) * (x - meanX) }
    require(varianceX > 0) { "a line needs two different abscissae, got ${points.map { it.first }}" }
    val slope = points.sumOf { (x, y) -> (x - meanX) * (y - meanY) } / varianceX
    val intercept = meanY - slope * meanX
    val total = points.sumOf { (_, y) -> (y - meanY) * (y - meanY) }
    val residual = points.sumOf { (x, y) -> (y - intercept - slope * x).let { it * it } }
    return LinearFit(slope, intercept, if (total == 0.0) 1.0 else 1 - residual / total)
}

/** Returns the smallest of [values] that at least [share] of them do not exceed; null without values. */
internal fun nearestRank(
    values: Collection<Long>,
    share: Double,
): Long? = values.sorted().let { it.getOrNull((Math.ceil(share * it.size).toInt() - 1).coerceAtLeast(0)) }
