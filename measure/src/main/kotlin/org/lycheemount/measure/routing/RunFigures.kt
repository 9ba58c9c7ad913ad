package org.lycheemount.measure.routing

import org.HdrHistogram.Histogram
import java.util.Locale

private const val WINDOW_US = 10 * SECOND_US
private const val RECOVERED_SHARE = 0.95
private const val STARVED_FACTOR = 3L
private const val US_PER_MS = 1_000L
private const val PERMILLE = 1_000.0
private const val HISTOGRAM_MAX_MS = 3_600_000L

/** Figures of one run. */
internal class RunFigures(
    private val scenario: Scenario,
    all: List<SimulatedRequest>,
) {
    private val requests = all.filter { it.trace.atUs >= Scenario.WARM_UP_US }
    private val modelRequests = requests.filter { it.trace.traffic !== serviceClass }
    private val met = requests.filter { it.metTargets() }
    private val seconds = (Scenario.ARRIVALS_UNTIL_US - Scenario.WARM_UP_US) / SECOND_US.toDouble()

    /** Output tokens a second of answers that met both targets. */
    val goodputTokens: Double = met.sumOf { it.trace.naturalTokens } / seconds

    /** Requests a second that met both targets. */
    val goodputRequests: Double = met.size / seconds

    val starved: Int =
        requests.count {
            val limitMs = STARVED_FACTOR * it.trace.traffic.workClass.completionTargetMs
            it.trace.traffic.workClass.mustFinish && (it.completionMs() ?: Double.MAX_VALUE) > limitMs
        }

    /** Time after the end of the fault until every class is back to its share before the fault, or null without a fault. */
    fun recoveryMs(): Map<String, Long?> =
        if (scenario.fault == Fault.NONE) emptyMap() else trafficClasses.associate { it.name to recoveryMs(it) }

    fun print(prefix: String): List<Pair<String, Any>> {
        val lines = ArrayList<Pair<String, Any>>()
        lines += "goodput_tokens_per_second" to rounded(goodputTokens)
        lines += "goodput_requests_per_second" to rounded(goodputRequests)
        lines +=
            "cache_hit_permille" to
            permille(modelRequests.sumOf { it.cachedTokens.toLong() }, modelRequests.sumOf { it.prefilledTokens.toLong() })
        lines += "refused_permille" to permille(requests.count { it.refused }.toLong(), requests.size.toLong())
        lines += "false_refusals_permille" to permille(requests.count { it.falselyRefused }.toLong(), requests.size.toLong())
        lines += "starved_requests" to starved
        lines += "fairness_jain_permille" to rounded(PERMILLE * fairness())
        lines += "worst_team_met_permille" to rounded(PERMILLE * teamShares().min())
        for (traffic in trafficClasses) lines += classFigures(traffic)
        recoveryMs().forEach { (name, recovery) -> lines += "${name}_recovery_ms" to (recovery ?: "never") }
        return lines.map { (name, value) -> "${prefix}_$name" to value }
    }

    private fun classFigures(traffic: TrafficClass): List<Pair<String, Any>> {
        val own = requests.filter { it.trace.traffic === traffic }
        val first = histogram(own.mapNotNull { it.firstTokenMs() })
        val completion = histogram(own.mapNotNull { it.completionMs() })
        return listOf("${traffic.name}_met_permille" to permille(own.count { it.metTargets() }.toLong(), own.size.toLong())) +
            listOf(50, 95, 99).map { "${traffic.name}_first_token_p${it}_ms" to first.getValueAtPercentile(it.toDouble()) } +
            listOf(50, 95, 99).map { "${traffic.name}_completion_p${it}_ms" to completion.getValueAtPercentile(it.toDouble()) }
    }

    private fun recoveryMs(traffic: TrafficClass): Long? {
        val own = requests.filter { it.trace.traffic === traffic }
        val before = metShare(own.filter { it.trace.atUs < scenario.faultFromUs })
        var from = scenario.faultUntilUs
        while (from < Scenario.ARRIVALS_UNTIL_US) {
            val window = own.filter { it.trace.atUs in from until from + WINDOW_US }
            if (window.isNotEmpty() && metShare(window) >= RECOVERED_SHARE * before) return (from - scenario.faultUntilUs) / US_PER_MS
            from += SECOND_US
        }
        return null
    }

    private fun metShare(of: List<SimulatedRequest>) = if (of.isEmpty()) 1.0 else of.count { it.metTargets() } / of.size.toDouble()

    private fun teamShares() = requests.groupBy { it.trace.teamId }.values.map { metShare(it) }

    /** Jain's index of the shares of requests that met their targets, by team; 1 is equal treatment. */
    private fun fairness(): Double {
        val shares = teamShares()
        val squares = shares.sumOf { it * it }
        return if (squares == 0.0) 1.0 else shares.sum() * shares.sum() / (shares.size * squares)
    }

    private fun histogram(valuesMs: List<Double>): Histogram {
        val histogram = Histogram(HISTOGRAM_MAX_MS, 3)
        valuesMs.forEach { histogram.recordValue(it.toLong().coerceIn(0, HISTOGRAM_MAX_MS)) }
        return histogram
    }

    private fun permille(
        part: Long,
        whole: Long,
    ) = rounded(if (whole == 0L) 0.0 else PERMILLE * part / whole)

    private fun rounded(value: Double) = String.format(Locale.ROOT, "%.1f", value)
}
