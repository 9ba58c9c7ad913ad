package org.lycheemount.measure.control

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import org.lycheemount.common.Clock

/** Figures of one fleet. */
internal class RunResult(
    val figures: List<Pair<String, Any>>,
    val bytesPerSecond: Double,
    val cpuShareOfCore: Double,
    val heapBytesPerNode: Double,
)

/** Runs the scenarios of one fleet size in virtual time. */
internal class ControlRun(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val size: Int,
    private val pollOnly: Boolean = false,
) {
    private val prefix = (if (pollOnly) "baseline_poll_" else "") + "routers_${size}_"
    private val heapBefore = usedHeapBytes()
    private val fleet = ControlFleet(scope, clock, size, pollOnly)
    private val seen = mutableMapOf<ControlFleet.Router, Long>()
    private var reversions = 0
    private var bytesPerSecond = 0.0
    private var cpuShareOfCore = 0.0

    suspend fun run(): RunResult {
        fleet.routers.first().start()
        delay(SETTLE_MS)
        fleet.fill(TEAMS)
        fleet.routers.drop(1).forEach { it.start() }
        delay(SETTLE_MS)
        val heapPerNode = (usedHeapBytes() - heapBefore).toDouble() / size
        val figures = normal() + partition() + restart() + ("${prefix}reversions" to reversions)
        val perNode =
            listOf(
                "${prefix}sent_bytes_per_second_per_node" to bytesPerSecond.toLong(),
                "${prefix}cpu_permille_of_core_per_node" to "%.3f".format(cpuShareOfCore * 1_000),
                "${prefix}heap_kb_per_node" to (heapPerNode / 1_024).toLong(),
            )
        return RunResult(figures + perNode, bytesPerSecond, cpuShareOfCore, heapPerNode)
    }

    private suspend fun normal(): List<Pair<String, Any>> {
        val samples = Samples()
        val bytesBefore = fleet.routers.sumOf { it.messenger.sentBytes }
        val startMs = clock.monotonicMs()
        val cpuBefore = System.nanoTime()
        repeat(CHANGES) {
            awaitInForce(fleet.change(fleet.randomRouter()), clock.monotonicMs(), samples)
            delay(CHANGE_INTERVAL_MS)
        }
        val elapsedMs = clock.monotonicMs() - startMs
        cpuShareOfCore = (System.nanoTime() - cpuBefore) / NANOS_PER_MS / elapsedMs / size
        bytesPerSecond = (fleet.routers.sumOf { it.messenger.sentBytes } - bytesBefore) * 1_000.0 / elapsedMs / size
        val readsPerSecond = fleet.table.reads(startMs) * 1_000L / elapsedMs
        return samples.figures("${prefix}in_force_ms") + ("${prefix}table_reads_per_second" to readsPerSecond)
    }

    private suspend fun partition(): List<Pair<String, Any>> {
        val group = fleet.routers.take((size + 3) / 4)
        val others = fleet.routers - group.toSet()
        fleet.cut(group)
        var newest = 0L
        repeat(PARTITION_CHANGES) {
            newest = fleet.change(fleet.randomRouter(others))
            delay(PARTITION_MS / PARTITION_CHANGES)
            noteReversions()
        }
        fleet.heal()
        val healedMs = clock.monotonicMs()
        val samples = Samples()
        awaitInForce(newest, healedMs, samples, group)
        return samples.figures("${prefix}after_partition_ms") +
            ("${prefix}after_partition_peak_table_reads_per_second" to fleet.table.peakReadsPerSecond(healedMs))
    }

    private suspend fun restart(): List<Pair<String, Any>> {
        val newest = fleet.change(fleet.randomRouter())
        val commitsBefore = fleet.table.commitCount
        fleet.routers.forEach { it.stop() }
        seen.clear()
        val startMs = clock.monotonicMs()
        fleet.routers.forEach { it.start() }
        val samples = Samples()
        awaitInForce(newest, startMs, samples)
        return samples.figures("${prefix}after_restart_of_all_ms") +
            ("${prefix}restart_peak_table_reads_per_second" to fleet.table.peakReadsPerSecond(startMs)) +
            ("${prefix}restart_table_reads" to fleet.table.reads(startMs)) +
            ("${prefix}restart_table_writes" to fleet.table.commitCount - commitsBefore)
    }

    /** Adds the time since [sinceMs] at which each of [among] has [sequence] in force. */
    private suspend fun awaitInForce(
        sequence: Long,
        sinceMs: Long,
        samples: Samples,
        among: List<ControlFleet.Router> = fleet.routers,
    ) {
        var waiting = among
        while (waiting.isNotEmpty()) {
            val (done, left) = waiting.partition { it.configuration.replica.sequence >= sequence }
            done.forEach { _ -> samples.add(clock.monotonicMs() - sinceMs) }
            waiting = left
            if (left.isNotEmpty()) delay(SAMPLE_MS)
            check(clock.monotonicMs() - sinceMs < GIVE_UP_MS) { "$prefix: ${left.size} routers have not got $sequence" }
        }
        noteReversions()
    }

    private fun noteReversions() {
        for (router in fleet.routers) {
            val sequence = router.configuration.replica.sequence
            if (sequence < (seen[router] ?: 0)) reversions++
            seen[router] = sequence
        }
    }

    private companion object {
        private const val TEAMS = 200
        private const val CHANGES = 40

        // 55,000 changes a day are one in 1,570 ms.
        private const val CHANGE_INTERVAL_MS = 1_570L
        private const val PARTITION_MS = 60_000L
        private const val PARTITION_CHANGES = 10
        private const val SETTLE_MS = 15_000L
        private const val SAMPLE_MS = 1L
        private const val GIVE_UP_MS = 600_000L
        private const val NANOS_PER_MS = 1_000_000.0
    }
}

internal fun usedHeapBytes(): Long {
    repeat(3) { System.gc() }
    val runtime = Runtime.getRuntime()
    return runtime.totalMemory() - runtime.freeMemory()
}
