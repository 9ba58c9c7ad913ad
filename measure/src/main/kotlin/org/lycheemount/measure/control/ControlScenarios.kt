package org.lycheemount.measure.control

import java.lang.management.ManagementFactory

/** Takes one fleet through normal operation, partitions, a restart of all routers and an outage of the table. */
internal class ControlScenarios(
    private val shape: FleetShape,
) {
    private val emptyBytes = heapBytes()
    private val fleet = ControlFleet(shape)

    fun run(): ControlRun {
        val startedMs = System.currentTimeMillis()
        fleet.start()
        val normal = normal()
        val memoryBytes = (heapBytes() - emptyBytes).toDouble() / shape.routers
        val afterPartition = partition { fleet.run(PARTITION_MS) }
        val afterLongPartition =
            if (shape.routers <= LONG_PARTITION_ROUTERS) partition { fleet.changeMany(LONG_PARTITION_CHANGES) } else null
        val restart = recovery { fleet.restartAll() }
        val outage = recovery { tableOutage() }
        val neverInForce = fleet.watch.pendingChanges
        fleet.close()
        System.err.println("control: ${shape.routers} routers, peers ${shape.usesPeers}, ${System.currentTimeMillis() - startedMs} ms")
        val seconds = NORMAL_MS / 1_000.0
        val nodeSeconds = seconds * shape.routers
        val keepAliveFrames = normal.neighboursPerNode * 2 / KEEP_ALIVE_SECONDS
        val frames = normal.frames / nodeSeconds + keepAliveFrames
        val frameBytes = normal.bytes / nodeSeconds + keepAliveFrames * KEEP_ALIVE_FRAME_BYTES
        return ControlRun(
            normal = normal.times,
            afterPartition = afterPartition,
            afterLongPartition = afterLongPartition,
            afterRestart = restart.times,
            frameBytesPerNodeSecond = frameBytes,
            frameBytesWorstNodeSecond = normal.busiestNodeBytes / seconds + keepAliveFrames * KEEP_ALIVE_FRAME_BYTES,
            framesPerNodeSecond = frames,
            wireBytesPerNodeSecond = frameBytes + frames * PACKET_HEADER_BYTES,
            neighboursPerNode = normal.neighboursPerNode,
            cpuUsPerNodeSecond = normal.cpuNanos / 1_000.0 / nodeSeconds,
            memoryBytesPerNode = memoryBytes,
            normalReadsPerSecond = normal.reads / seconds,
            normalWritesPerSecond = normal.writes / seconds,
            restart = restart.load,
            outage = outage.load,
            rejectedChanges = fleet.rejectedChanges,
            neverInForce = neverInForce,
            reversions = fleet.watch.reversions,
        )
    }

    private class Normal(
        val times: Times,
        val frames: Long,
        val bytes: Long,
        val busiestNodeBytes: Long,
        val neighboursPerNode: Double,
        val cpuNanos: Long,
        val reads: Long,
        val writes: Long,
    )

    private fun normal(): Normal {
        val framesBefore = fleet.counts.values.sumOf { it.frames }
        val bytesBefore = fleet.counts.mapValues { it.value.bytes }
        val cpuBefore = fleet.cpuNanos
        val readsBefore = fleet.table.reads
        val writesBefore = fleet.table.commits
        fleet.startChanges()
        fleet.run(NORMAL_MS)
        fleet.stopChanges()
        val bytes = fleet.counts.mapValues { it.value.bytes - bytesBefore.getValue(it.key) }
        val frames = fleet.counts.values.sumOf { it.frames } - framesBefore
        val cpuNanos = fleet.cpuNanos - cpuBefore
        val reads = fleet.table.reads - readsBefore
        val writes = fleet.table.commits - writesBefore
        return Normal(
            settledTimes(),
            frames,
            bytes.values.sum(),
            bytes.values.max(),
            fleet.routers.map { it.neighbours }.average(),
            cpuNanos,
            reads,
            writes,
        )
    }

    /** Measures the changes that were made in a partition, from its end, and those that follow. */
    private fun partition(during: () -> Unit): Times {
        fleet.watch.samplesMs.clear()
        fleet.cutFirstPlace()
        fleet.startChanges()
        during()
        fleet.watch.countFrom(fleet.nowMs)
        fleet.heal()
        fleet.run(RECOVERY_MS)
        fleet.stopChanges()
        return settledTimes()
    }

    private class Recovery(
        val times: Times,
        val load: RecoveryLoad,
    )

    /** Measures a change that is accepted just before [fault], from its end, and those that follow. */
    private fun recovery(fault: () -> Unit): Recovery {
        fleet.changeMany(1)
        fleet.watch.samplesMs.clear()
        fleet.startChanges()
        fault()
        val fromMs = fleet.nowMs
        val reads = fleet.table.reads
        val rowsRead = fleet.table.rowsRead
        val writes = fleet.table.commits
        fleet.watch.countFrom(fromMs)
        var allLoadedMs: Long? = null
        while (fleet.nowMs < fromMs + RECOVERY_MS) {
            fleet.run(LOADED_LOOK_MS)
            if (allLoadedMs == null && fleet.routers.all { it.service.replica.isLoaded }) allLoadedMs = fleet.nowMs - fromMs
        }
        fleet.stopChanges()
        val load =
            RecoveryLoad(
                fleet.table.reads - reads,
                fleet.table.rowsRead - rowsRead,
                fleet.table.greatestReadsPerSecond(fromMs),
                fleet.table.commits - writes,
                allLoadedMs,
            )
        return Recovery(settledTimes(), load)
    }

    private fun tableOutage() {
        fleet.setTableAvailable(false)
        fleet.run(if (shape.routers <= HOUR_OUTAGE_ROUTERS) HOUR_MS else SHORT_OUTAGE_MS)
        fleet.setTableAvailable(true)
    }

    private fun settledTimes(): Times {
        val endMs = fleet.nowMs + SETTLE_MS
        while (fleet.watch.pendingChanges > 0 && fleet.nowMs < endMs) fleet.run(LOADED_LOOK_MS)
        val times = Times(fleet.watch.samplesMs.toList())
        fleet.watch.samplesMs.clear()
        return times
    }

    private companion object {
        private const val NORMAL_MS = 100_000L
        private const val PARTITION_MS = 20_000L
        private const val RECOVERY_MS = 20_000L
        private const val SETTLE_MS = 60_000L
        private const val LOADED_LOOK_MS = 10L

        // Nothing of the configuration grows while the table is down, so a short outage stands for a long one in large fleets.
        private const val HOUR_OUTAGE_ROUTERS = 7
        private const val HOUR_MS = 3_600_000L
        private const val SHORT_OUTAGE_MS = 20_000L

        // More than a router keeps in memory, as after half an hour at 55,000 changes a day.
        private const val LONG_PARTITION_CHANGES = 1_100
        private const val LONG_PARTITION_ROUTERS = 25
        private const val KEEP_ALIVE_SECONDS = 5.0

        // Headers of TCP and IP for a frame in a packet of its own, and for its acknowledgement.
        private const val PACKET_HEADER_BYTES = 80

        private fun heapBytes(): Long {
            repeat(3) { System.gc() }
            return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
        }
    }
}
