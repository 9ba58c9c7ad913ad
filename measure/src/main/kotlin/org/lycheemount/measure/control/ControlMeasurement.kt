package org.lycheemount.measure.control

import org.lycheemount.config.PropagationSettings
import org.lycheemount.measure.Measurement
import org.lycheemount.measure.fitLine
import org.lycheemount.measure.nearestRank
import java.util.Locale
import kotlin.math.exp

/** Comma-separated numbers of routers; all sizes when it is not set. */
private const val SIZES_PROPERTY = "control.sizes"
private val allSizes = listOf(7, 25, 50, 100, 200, 600)

/** Propagation of configuration and upkeep of membership, over the number of routers, beside polling of the table alone. */
internal class ControlMeasurement : Measurement {
    override val name = "control"

    override fun run(): List<Pair<String, Any>> {
        val sizes = System.getProperty(SIZES_PROPERTY)?.split(',')?.map { it.toInt() } ?: allSizes
        val runs = sizes.map { measureSize(it) }
        return runs.flatMap { it.print() } + (if (sizes.size > 1) fits(runs) else emptyList()) + SocketFleet().measure() +
            listOf("control_reversions" to runs.sumOf { it.own.reversions + it.baseline.reversions })
    }

    private fun measureSize(routers: Int): SizeRun {
        val shape = FleetShape(routers, regions = if (routers <= 16) 1 else 10)
        val own = ControlScenarios(shape).run()
        val pollMs = pollMsForReads(own.normalReadsPerSecond / routers, shape.changesPerSecond)
        val baselineShape =
            shape.copy(usesPeers = false, propagation = PropagationSettings(minPollMs = pollMs, maxPollMs = pollMs))
        return SizeRun(routers, own, ControlScenarios(baselineShape).run(), pollMs)
    }

    /** Returns the poll interval with which polling alone causes [readsPerSecond]: a read of the head, and a scan after a change. */
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

    private fun fits(runs: List<SizeRun>): List<Pair<String, Any>> =
        listOf(
            fit(runs, "normal_in_force_worst_ms") { it.normal.worst.toDouble() },
            fit(runs, "after_partition_in_force_worst_ms") { it.afterPartition.worst.toDouble() },
            fit(runs, "after_restart_in_force_worst_ms") { it.afterRestart.worst.toDouble() },
            fit(runs, "frame_bytes_per_node_second") { it.frameBytesPerNodeSecond },
            fit(runs, "wire_bytes_per_node_second") { it.wireBytesPerNodeSecond },
            fit(runs, "cpu_us_per_node_second") { it.cpuUsPerNodeSecond },
            fit(runs, "memory_bytes_per_node") { it.memoryBytesPerNode },
            fit(runs, "table_reads_per_second") { it.normalReadsPerSecond },
        ).flatten()

    private fun fit(
        runs: List<SizeRun>,
        figure: String,
        value: (ControlRun) -> Double,
    ): List<Pair<String, Any>> {
        val line = fitLine(runs.map { it.routers.toDouble() to value(it.own) })
        return listOf(
            "control_fit_${figure}_per_router" to decimal(line.slope),
            "control_fit_${figure}_at_0" to decimal(line.intercept),
            "control_fit_${figure}_r2" to decimal(line.determination),
            "control_fit_${figure}_at_600" to decimal(line.at(600.0)),
        )
    }
}

internal fun decimal(value: Double): String = String.format(Locale.ROOT, "%.3f", value)

private class SizeRun(
    val routers: Int,
    val own: ControlRun,
    val baseline: ControlRun,
    private val baselinePollMs: Long,
) {
    fun print(): List<Pair<String, Any>> {
        val prefix = "control_$routers"
        return own.print(prefix) + baseline.print("baseline_$prefix") + ("baseline_${prefix}_poll_ms" to baselinePollMs)
    }
}

/** Distribution of times in milliseconds. */
internal class Times(
    samplesMs: List<Long>,
) {
    val count = samplesMs.size
    val p50 = nearestRank(samplesMs, 0.5) ?: -1
    val p99 = nearestRank(samplesMs, 0.99) ?: -1
    val worst = samplesMs.maxOrNull() ?: -1

    fun print(prefix: String): List<Pair<String, Any>> =
        listOf("${prefix}_changes" to count, "${prefix}_p50_ms" to p50, "${prefix}_p99_ms" to p99, "${prefix}_worst_ms" to worst)
}

/** Figures of one fleet. */
internal data class ControlRun(
    val normal: Times,
    val afterPartition: Times,
    val afterLongPartition: Times?,
    val afterRestart: Times,
    val frameBytesPerNodeSecond: Double,
    val frameBytesWorstNodeSecond: Double,
    val framesPerNodeSecond: Double,
    val wireBytesPerNodeSecond: Double,
    val neighboursPerNode: Double,
    val cpuUsPerNodeSecond: Double,
    val memoryBytesPerNode: Double,
    val normalReadsPerSecond: Double,
    val normalWritesPerSecond: Double,
    val restart: RecoveryLoad,
    val outage: RecoveryLoad,
    val rejectedChanges: Int,
    val neverInForce: Int,
    val reversions: Int,
) {
    fun print(prefix: String): List<Pair<String, Any>> =
        normal.print("${prefix}_normal_in_force") +
            afterPartition.print("${prefix}_after_partition_in_force") +
            (afterLongPartition?.print("${prefix}_after_partition_with_1100_changes_in_force") ?: emptyList()) +
            afterRestart.print("${prefix}_after_restart_in_force") +
            listOf(
                "${prefix}_frame_bytes_per_node_second" to decimal(frameBytesPerNodeSecond),
                "${prefix}_frame_bytes_per_second_busiest_node" to decimal(frameBytesWorstNodeSecond),
                "${prefix}_wire_bytes_per_node_second" to decimal(wireBytesPerNodeSecond),
                "${prefix}_frames_per_node_second" to decimal(framesPerNodeSecond),
                "${prefix}_neighbours_per_node" to decimal(neighboursPerNode),
                "${prefix}_cpu_us_per_node_second" to decimal(cpuUsPerNodeSecond),
                "${prefix}_cpu_percent_of_core_per_node" to decimal(cpuUsPerNodeSecond / 10_000),
                "${prefix}_memory_mb_per_node" to decimal(memoryBytesPerNode / 1e6),
                "${prefix}_table_reads_per_second" to decimal(normalReadsPerSecond),
                "${prefix}_table_writes_per_second" to decimal(normalWritesPerSecond),
            ) +
            restart.print("${prefix}_restart") +
            outage.print("${prefix}_outage") +
            listOf(
                "${prefix}_rejected_changes" to rejectedChanges,
                "${prefix}_changes_never_in_force" to neverInForce,
                "${prefix}_reversions" to reversions,
            )
}

/** What the table carried while routers recovered. */
internal class RecoveryLoad(
    private val reads: Long,
    private val rowsRead: Long,
    private val greatestReadsPerSecond: Int,
    private val writes: Long,
    private val allLoadedMs: Long?,
) {
    fun print(prefix: String): List<Pair<String, Any>> =
        listOf(
            "${prefix}_table_reads" to reads,
            "${prefix}_table_rows_read" to rowsRead,
            "${prefix}_table_reads_per_second_greatest" to greatestReadsPerSecond,
            "${prefix}_table_writes" to writes,
        ) + (allLoadedMs?.let { listOf("${prefix}_all_loaded_ms" to it) } ?: emptyList())
}
