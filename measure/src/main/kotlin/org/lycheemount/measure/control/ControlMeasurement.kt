package org.lycheemount.measure.control

import org.lycheemount.config.PropagationSettings
import org.lycheemount.measure.Measurement
import org.lycheemount.measure.fitLine
import org.lycheemount.measure.percentile
import java.util.Locale
import kotlin.math.exp

/** System property with comma-separated numbers of routers; without it, all sizes run. */
private const val SIZES_PROPERTY = "control.sizes"
private val allSizes = listOf(7, 25, 50, 100, 200, 600)

/** Cost and delay of configuration propagation and membership by number of routers, against a baseline that only polls the table. */
internal class ControlMeasurement : Measurement {
    override val name = "control"

    override fun run(): List<Pair<String, Any>> {
        val sizes = System.getProperty(SIZES_PROPERTY)?.split(',')?.map { it.toInt() } ?: allSizes
        val runs = sizes.map { measureSize(it) }
        return runs.flatMap { it.toFigures() } + (if (sizes.size > 1) fitAll(runs) else emptyList()) + SocketFleet().measure() +
            listOf("control_reversions" to runs.sumOf { it.measured.reversions + it.baseline.reversions })
    }

    private fun measureSize(routers: Int): SizeResult {
        val parameters = FleetParameters(routers, regions = if (routers <= 16) 1 else 10)
        val measured = ControlScenarioRunner(parameters).run()
        val pollMs = pollMsForReads(measured.normalReadsPerSecond / routers, parameters.changesPerSecond)
        val baselineParameters =
            parameters.copy(usesPeers = false, propagation = PropagationSettings(minPollMs = pollMs, maxPollMs = pollMs))
        return SizeResult(routers, measured, ControlScenarioRunner(baselineParameters).run(), pollMs)
    }

    /**
     * Returns the shortest poll interval, up to 60 s, at which polling alone causes at most [readsPerSecond].
     * Each poll reads the head; a poll after a change also scans.
     */
    private fun pollMsForReads(
        readsPerSecond: Double,
        changesPerSecond: Double,
    ): Long {
        val candidates = generateSequence(100L) { it + 50 }.takeWhile { it <= 60_000 }
        return candidates.firstOrNull { pollMs ->
            val pollSeconds = pollMs / 1_000.0
            (2 - exp(-changesPerSecond * pollSeconds)) / pollSeconds <= readsPerSecond
        } ?: 60_000L
    }

    private fun fitAll(runs: List<SizeResult>): List<Pair<String, Any>> =
        listOf(
            fitFigures(runs, "normal_in_force_worst_ms") { it.normal.maxMs.toDouble() },
            fitFigures(runs, "after_partition_in_force_worst_ms") { it.afterPartition.maxMs.toDouble() },
            fitFigures(runs, "after_restart_in_force_worst_ms") { it.afterRestart.maxMs.toDouble() },
            fitFigures(runs, "frame_bytes_per_node_second") { it.frameBytesPerNodeSecond },
            fitFigures(runs, "wire_bytes_per_node_second") { it.wireBytesPerNodeSecond },
            fitFigures(runs, "cpu_us_per_node_second") { it.cpuUsPerNodeSecond },
            fitFigures(runs, "memory_bytes_per_node") { it.memoryBytesPerNode },
            fitFigures(runs, "table_reads_per_second") { it.normalReadsPerSecond },
        ).flatten()

    private fun fitFigures(
        runs: List<SizeResult>,
        figure: String,
        value: (ControlResult) -> Double,
    ): List<Pair<String, Any>> {
        val line = fitLine(runs.map { it.routers.toDouble() to value(it.measured) })
        return listOf(
            "control_fit_${figure}_per_router" to formatDecimal(line.slope),
            "control_fit_${figure}_at_0" to formatDecimal(line.intercept),
            "control_fit_${figure}_r2" to formatDecimal(line.rSquared),
            "control_fit_${figure}_at_600" to formatDecimal(line.valueAt(600.0)),
        )
    }
}

internal fun formatDecimal(value: Double): String = String.format(Locale.ROOT, "%.3f", value)

private class SizeResult(
    val routers: Int,
    val measured: ControlResult,
    val baseline: ControlResult,
    private val baselinePollMs: Long,
) {
    fun toFigures(): List<Pair<String, Any>> {
        val prefix = "control_$routers"
        return measured.toFigures(prefix) + baseline.toFigures("baseline_$prefix") + ("baseline_${prefix}_poll_ms" to baselinePollMs)
    }
}

/** Percentiles and maximum of durations in milliseconds; -1 without any duration. */
internal class DurationSummary(
    durationsMs: List<Long>,
) {
    val count = durationsMs.size
    val p50Ms = percentile(durationsMs, 0.5) ?: -1
    val p99Ms = percentile(durationsMs, 0.99) ?: -1
    val maxMs = durationsMs.maxOrNull() ?: -1

    fun toFigures(prefix: String): List<Pair<String, Any>> =
        listOf("${prefix}_changes" to count, "${prefix}_p50_ms" to p50Ms, "${prefix}_p99_ms" to p99Ms, "${prefix}_worst_ms" to maxMs)
}

/** Figures of one fleet. A node is a router; `wire` figures include packet headers. */
internal data class ControlResult(
    val normal: DurationSummary,
    val afterPartition: DurationSummary,
    val afterLongPartition: DurationSummary?,
    val afterRestart: DurationSummary,
    val frameBytesPerNodeSecond: Double,
    val busiestNodeFrameBytesPerSecond: Double,
    val framesPerNodeSecond: Double,
    val wireBytesPerNodeSecond: Double,
    val neighboursPerNode: Double,
    val cpuUsPerNodeSecond: Double,
    val memoryBytesPerNode: Double,
    val normalReadsPerSecond: Double,
    val normalWritesPerSecond: Double,
    val restart: RecoveryTableUse,
    val outage: RecoveryTableUse,
    val rejectedChanges: Int,
    val neverActive: Int,
    val reversions: Int,
) {
    fun toFigures(prefix: String): List<Pair<String, Any>> =
        normal.toFigures("${prefix}_normal_in_force") +
            afterPartition.toFigures("${prefix}_after_partition_in_force") +
            (afterLongPartition?.toFigures("${prefix}_after_partition_with_1100_changes_in_force") ?: emptyList()) +
            afterRestart.toFigures("${prefix}_after_restart_in_force") +
            listOf(
                "${prefix}_frame_bytes_per_node_second" to formatDecimal(frameBytesPerNodeSecond),
                "${prefix}_frame_bytes_per_second_busiest_node" to formatDecimal(busiestNodeFrameBytesPerSecond),
                "${prefix}_wire_bytes_per_node_second" to formatDecimal(wireBytesPerNodeSecond),
                "${prefix}_frames_per_node_second" to formatDecimal(framesPerNodeSecond),
                "${prefix}_neighbours_per_node" to formatDecimal(neighboursPerNode),
                "${prefix}_cpu_us_per_node_second" to formatDecimal(cpuUsPerNodeSecond),
                "${prefix}_cpu_percent_of_core_per_node" to formatDecimal(cpuUsPerNodeSecond / 10_000),
                "${prefix}_memory_mb_per_node" to formatDecimal(memoryBytesPerNode / 1e6),
                "${prefix}_table_reads_per_second" to formatDecimal(normalReadsPerSecond),
                "${prefix}_table_writes_per_second" to formatDecimal(normalWritesPerSecond),
            ) +
            restart.toFigures("${prefix}_restart") +
            outage.toFigures("${prefix}_outage") +
            listOf(
                "${prefix}_rejected_changes" to rejectedChanges,
                "${prefix}_changes_never_in_force" to neverActive,
                "${prefix}_reversions" to reversions,
            )
}

/** Table use while routers recover from a fault. */
internal class RecoveryTableUse(
    private val reads: Long,
    private val rowsRead: Long,
    private val maxReadsPerSecond: Int,
    private val writes: Long,
    private val allLoadedMs: Long?,
) {
    fun toFigures(prefix: String): List<Pair<String, Any>> =
        listOf(
            "${prefix}_table_reads" to reads,
            "${prefix}_table_rows_read" to rowsRead,
            "${prefix}_table_reads_per_second_greatest" to maxReadsPerSecond,
            "${prefix}_table_writes" to writes,
        ) + (allLoadedMs?.let { listOf("${prefix}_all_loaded_ms" to it) } ?: emptyList())
}
