package org.lycheemount.measure.control

import java.lang.management.ManagementFactory

/** Runs one fleet through normal operation, network partitions, a restart of all routers and a table outage. */
internal class ControlScenarioRunner(
    private val parameters: FleetParameters,
) {
    private val initialHeapBytes = usedHeapBytes()
    private val fleet = ControlFleet(parameters)

    fun run(): ControlResult {
        val startedMs = System.currentTimeMillis()
        fleet.start()
        val normal = measureNormalOperation()
        val memoryBytes = (usedHeapBytes() - initialHeapBytes).toDouble() / parameters.routers
        val afterPartition = measurePartition { fleet.advance(PARTITION_MS) }
        val hasLongPartition = parameters.routers <= MAX_ROUTERS_OF_LONG_PARTITION
        val afterLongPartition = if (hasLongPartition) measurePartition { fleet.makeChanges(LONG_PARTITION_CHANGES) } else null
        val restart = measureRecovery { fleet.restartAll() }
        val outage = measureRecovery { causeTableOutage() }
        val neverActive = fleet.monitor.pendingChanges
        fleet.close()
        val elapsedMs = System.currentTimeMillis() - startedMs
        System.err.println("control: ${parameters.routers} routers, peers ${parameters.usesPeers}, $elapsedMs ms")
        val seconds = NORMAL_MS / 1_000.0
        val nodeSeconds = seconds * parameters.routers
        val keepAliveFrames = normal.neighboursPerNode * 2 / KEEP_ALIVE_SECONDS
        val frames = normal.frames / nodeSeconds + keepAliveFrames
        val frameBytes = normal.bytes / nodeSeconds + keepAliveFrames * KEEP_ALIVE_FRAME_BYTES
        return ControlResult(
            normal = normal.durations,
            afterPartition = afterPartition,
            afterLongPartition = afterLongPartition,
            afterRestart = restart.durations,
            frameBytesPerNodeSecond = frameBytes,
            busiestNodeFrameBytesPerSecond = normal.busiestNodeBytes / seconds + keepAliveFrames * KEEP_ALIVE_FRAME_BYTES,
            framesPerNodeSecond = frames,
            wireBytesPerNodeSecond = frameBytes + frames * PACKET_HEADER_BYTES,
            neighboursPerNode = normal.neighboursPerNode,
            cpuUsPerNodeSecond = normal.cpuNanos / 1_000.0 / nodeSeconds,
            memoryBytesPerNode = memoryBytes,
            normalReadsPerSecond = normal.reads / seconds,
            normalWritesPerSecond = normal.writes / seconds,
            restart = restart.tableUse,
            outage = outage.tableUse,
            rejectedChanges = fleet.rejectedChanges,
            neverActive = neverActive,
            reversions = fleet.monitor.reversions,
        )
    }

    private class NormalOperation(
        val durations: DurationSummary,
        val frames: Long,
        val bytes: Long,
        val busiestNodeBytes: Long,
        val neighboursPerNode: Double,
        val cpuNanos: Long,
        val reads: Long,
        val writes: Long,
    )

    private fun measureNormalOperation(): NormalOperation {
        val framesBefore = fleet.frameCounters.values.sumOf { it.frames }
        val bytesBefore = fleet.frameCounters.mapValues { it.value.bytes }
        val cpuBefore = fleet.cpuNanos
        val readsBefore = fleet.table.reads
        val writesBefore = fleet.table.commits
        fleet.startChanges()
        fleet.advance(NORMAL_MS)
        fleet.stopChanges()
        val bytes = fleet.frameCounters.mapValues { it.value.bytes - bytesBefore.getValue(it.key) }
        val frames = fleet.frameCounters.values.sumOf { it.frames } - framesBefore
        val cpuNanos = fleet.cpuNanos - cpuBefore
        val reads = fleet.table.reads - readsBefore
        val writes = fleet.table.commits - writesBefore
        return NormalOperation(
            awaitActivations(),
            frames,
            bytes.values.sum(),
            bytes.values.max(),
            fleet.routers.map { it.neighbourCount }.average(),
            cpuNanos,
            reads,
            writes,
        )
    }

    /** Measures changes made during a partition, from its end, and those made during the recovery. */
    private fun measurePartition(during: () -> Unit): DurationSummary {
        fleet.monitor.durationsMs.clear()
        fleet.isolateFirstLocation()
        fleet.startChanges()
        during()
        fleet.monitor.resetStartTimes(fleet.nowMs)
        fleet.heal()
        fleet.advance(RECOVERY_MS)
        fleet.stopChanges()
        return awaitActivations()
    }

    private class Recovery(
        val durations: DurationSummary,
        val tableUse: RecoveryTableUse,
    )

    /** Measures a change accepted just before [fault], from the end of the fault, and those made during the recovery. */
    private fun measureRecovery(fault: () -> Unit): Recovery {
        fleet.makeChanges(1)
        fleet.monitor.durationsMs.clear()
        fleet.startChanges()
        fault()
        val recoveryStartMs = fleet.nowMs
        val readsBefore = fleet.table.reads
        val rowsReadBefore = fleet.table.rowsRead
        val writesBefore = fleet.table.commits
        fleet.monitor.resetStartTimes(recoveryStartMs)
        var allLoadedMs: Long? = null
        while (fleet.nowMs < recoveryStartMs + RECOVERY_MS) {
            fleet.advance(CHECK_INTERVAL_MS)
            if (allLoadedMs == null && fleet.routers.all { it.service.replica.isLoaded }) allLoadedMs = fleet.nowMs - recoveryStartMs
        }
        fleet.stopChanges()
        val tableUse =
            RecoveryTableUse(
                fleet.table.reads - readsBefore,
                fleet.table.rowsRead - rowsReadBefore,
                fleet.table.maxReadsPerSecond(recoveryStartMs),
                fleet.table.commits - writesBefore,
                allLoadedMs,
            )
        return Recovery(awaitActivations(), tableUse)
    }

    private fun causeTableOutage() {
        fleet.setTableAvailable(false)
        fleet.advance(if (parameters.routers <= MAX_ROUTERS_OF_HOUR_OUTAGE) HOUR_MS else SHORT_OUTAGE_MS)
        fleet.setTableAvailable(true)
    }

    private fun awaitActivations(): DurationSummary {
        val endMs = fleet.nowMs + SETTLE_MS
        while (fleet.monitor.pendingChanges > 0 && fleet.nowMs < endMs) fleet.advance(CHECK_INTERVAL_MS)
        val durations = DurationSummary(fleet.monitor.durationsMs.toList())
        fleet.monitor.durationsMs.clear()
        return durations
    }

    private companion object {
        private const val NORMAL_MS = 100_000L
        private const val PARTITION_MS = 20_000L
        private const val RECOVERY_MS = 20_000L
        private const val SETTLE_MS = 60_000L
        private const val CHECK_INTERVAL_MS = 10L

        // The configuration does not grow while the table is unavailable, so larger fleets run a short outage instead of an hour.
        private const val MAX_ROUTERS_OF_HOUR_OUTAGE = 7
        private const val HOUR_MS = 3_600_000L
        private const val SHORT_OUTAGE_MS = 20_000L

        // Half an hour of changes at 55,000 a day, which is more than a router keeps in memory.
        private const val LONG_PARTITION_CHANGES = 1_100
        private const val MAX_ROUTERS_OF_LONG_PARTITION = 25
        private const val KEEP_ALIVE_SECONDS = 5.0

        // TCP and IP headers of a packet with a single frame and of its acknowledgement.
        private const val PACKET_HEADER_BYTES = 80

        private fun usedHeapBytes(): Long {
            repeat(3) { System.gc() }
            return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
        }
    }
}
