package org.lycheemount.measure.routing

import org.HdrHistogram.Histogram
import java.util.Locale

private const val WINDOW_US = 10 * SECOND_US
private const val RECOVERED_SHARE = 0.95
private const val STARVATION_FACTOR = 3L
private const val US_PER_MS = 1_000L
private const val PERMILLE = 1_000.0
private const val HISTOGRAM_MAX_MS = 3_600_000L

/** Figures of one run. */
internal class RunFigures(
    private val scenario: Scenario,
    allRequests: List<SimulatedRequest>,
) {
    private val requests = allRequests.filter { it.trace.arrivalUs >= Scenario.WARM_UP_US }
    private val modelRequests = requests.filter { it.trace.trafficClass !== serviceClass }
    private val metRequests = requests.filter { it.metTargets() }
    private val seconds = (Scenario.ARRIVALS_END_US - Scenario.WARM_UP_US) / SECOND_US.toDouble()

    /** Output tokens per second of the requests that met both targets. */
    val goodputTokens: Double = metRequests.sumOf { it.trace.outputTokens } / seconds

    /** Requests per second that met both targets. */
    val goodputRequests: Double = metRequests.size / seconds

    val starvedRequests: Int =
        requests.count {
            val limitMs = STARVATION_FACTOR * it.trace.trafficClass.workClass.completionTargetMs
            it.trace.trafficClass.workClass.mustFinish && (it.completionMs() ?: Double.MAX_VALUE) > limitMs
        }

    /**
     * Time from the end of the fault until each class meets its targets at [RECOVERED_SHARE] of its rate before, by class name.
     *
     * The time is null if the class does not recover before arrivals end. The map is empty without a fault.
     */
    fun recoveryMs(): Map<String, Long?> =
        if (scenario.fault == Fault.NONE) emptyMap() else trafficClasses.associate { it.name to recoveryMs(it) }

    fun toFigures(prefix: String): List<Pair<String, Any>> {
        val lines = ArrayList<Pair<String, Any>>()
        lines += "goodput_tokens_per_second" to formatRounded(goodputTokens)
        lines += "goodput_requests_per_second" to formatRounded(goodputRequests)
        lines +=
            "cache_hit_permille" to
            permille(modelRequests.sumOf { it.cachedTokens.toLong() }, modelRequests.sumOf { it.prefilledTokens.toLong() })
        lines += "refused_permille" to permille(requests.count { it.isRefused }.toLong(), requests.size.toLong())
        lines += "false_refusals_permille" to permille(requests.count { it.isFalselyRefused }.toLong(), requests.size.toLong())
        lines += "starved_requests" to starvedRequests
        lines += "fairness_jain_permille" to formatRounded(PERMILLE * fairness())
        lines += "worst_team_met_permille" to formatRounded(PERMILLE * metShareOfTeams().min())
        for (traffic in trafficClasses) lines += classFigures(traffic)
        recoveryMs().forEach { (name, recovery) -> lines += "${name}_recovery_ms" to (recovery ?: "never") }
        return lines.map { (name, value) -> "${prefix}_$name" to value }
    }

    private fun classFigures(traffic: TrafficClass): List<Pair<String, Any>> {
        val classRequests = requests.filter { it.trace.trafficClass === traffic }
        val first = histogram(classRequests.mapNotNull { it.firstTokenMs() })
        val completion = histogram(classRequests.mapNotNull { it.completionMs() })
        val metPermille = permille(classRequests.count { it.metTargets() }.toLong(), classRequests.size.toLong())
        return listOf("${traffic.name}_met_permille" to metPermille) +
            listOf(50, 95, 99).map { "${traffic.name}_first_token_p${it}_ms" to first.getValueAtPercentile(it.toDouble()) } +
            listOf(50, 95, 99).map { "${traffic.name}_completion_p${it}_ms" to completion.getValueAtPercentile(it.toDouble()) }
    }

    private fun recoveryMs(traffic: TrafficClass): Long? {
        val classRequests = requests.filter { it.trace.trafficClass === traffic }
        val shareBeforeFault = metShare(classRequests.filter { it.trace.arrivalUs < scenario.faultStartUs })
        var windowStartUs = scenario.faultEndUs
        while (windowStartUs < Scenario.ARRIVALS_END_US) {
            val window = classRequests.filter { it.trace.arrivalUs in windowStartUs until windowStartUs + WINDOW_US }
            val isRecovered = window.isNotEmpty() && metShare(window) >= RECOVERED_SHARE * shareBeforeFault
            if (isRecovered) return (windowStartUs - scenario.faultEndUs) / US_PER_MS
            windowStartUs += SECOND_US
        }
        return null
    }

    private fun metShare(requests: List<SimulatedRequest>) =
        if (requests.isEmpty()) 1.0 else requests.count { it.metTargets() } / requests.size.toDouble()

    private fun metShareOfTeams() = requests.groupBy { it.trace.teamId }.values.map { metShare(it) }

    /** Jain's fairness index of the teams' shares of requests that met their targets; 1 is equal treatment. */
    private fun fairness(): Double {
        val shares = metShareOfTeams()
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
    ) = formatRounded(if (whole == 0L) 0.0 else PERMILLE * part / whole)

    private fun formatRounded(value: Double) = String.format(Locale.ROOT, "%.1f", value)
}
