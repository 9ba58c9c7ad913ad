package org.lycheemount.measure.control

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.lycheemount.common.DefaultClock
import org.lycheemount.common.DiscardingEventLog
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.TeamId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.config.ChangeOutcome
import org.lycheemount.config.ChangeRequest
import org.lycheemount.config.ConfigurationPeers
import org.lycheemount.config.ConfigurationService
import org.lycheemount.config.ItemEdit
import org.lycheemount.membership.MembershipListener
import org.lycheemount.membership.MembershipService
import org.lycheemount.peer.socket.DefaultPeerMessenger
import org.lycheemount.peer.socket.PeerEndpoint
import org.lycheemount.peer.socket.PeerSecret
import org.lycheemount.platform.RouterVm
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableService
import org.lycheemount.platform.VmDirectory
import org.lycheemount.platform.VmList
import org.lycheemount.testing.FakeTableService
import java.lang.management.ManagementFactory
import kotlin.random.Random

/** Runs seven routers in this process over real sockets in real time with an in-memory table. Its figures vary between runs. */
internal class SocketFleet {
    private val clock = DefaultClock()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val tableLock = Mutex()
    private val table = lockedTable(FakeTableService(clock))
    private val vms = mutableListOf<RouterVm>()
    private val routers = (0 until ROUTERS).map { SocketRouter(it) }

    fun measure(): List<Pair<String, Any>> =
        try {
            runBlocking(Dispatchers.Default) { measureFleet() }
        } finally {
            scope.cancel()
        }

    private suspend fun measureFleet(): List<Pair<String, Any>> {
        writeInitialConfiguration(routers[0].service.store, teams = 10, models = 1)
        routers.forEach { vms += it.bind() }
        routers.forEach { it.start() }
        delay(STARTUP_MS)
        val warmUpMonitor = newMonitor()
        repeat(WARM_UP_CHANGES) {
            makeChange(it, warmUpMonitor)
            delay(WARM_UP_INTERVAL_MS)
        }
        val monitor = newMonitor()
        val frameBytesBefore = frameBytes()
        val cpuBefore = cpuNanos()
        val startedMs = clock.monotonicMs()
        repeat(CHANGES) { number ->
            makeChange(WARM_UP_CHANGES + number, monitor)
            val nextMs = startedMs + (number + 1) * CHANGE_INTERVAL_MS
            while (clock.monotonicMs() < nextMs) {
                monitor.sample(clock.monotonicMs())
                delay(SAMPLE_INTERVAL_MS)
            }
        }
        val seconds = (clock.monotonicMs() - startedMs) / 1_000.0
        val nodeSeconds = seconds * ROUTERS
        val cpuUs = (cpuNanos() - cpuBefore) / 1_000.0 / nodeSeconds
        val prefix = "control_sockets_$ROUTERS"
        return DurationSummary(monitor.durationsMs).toFigures("${prefix}_normal_in_force") +
            listOf(
                "${prefix}_changes_per_second" to formatDecimal(CHANGES / seconds),
                "${prefix}_frame_bytes_per_node_second" to formatDecimal((frameBytes() - frameBytesBefore) / nodeSeconds),
                "${prefix}_cpu_us_per_node_second" to formatDecimal(cpuUs),
                "${prefix}_cpu_percent_of_core_per_node" to formatDecimal(cpuUs / 10_000),
                "${prefix}_changes_never_in_force" to monitor.pendingChanges,
                "${prefix}_reversions" to monitor.reversions,
            )
    }

    private fun newMonitor() = ActivationMonitor(ROUTERS, { routers[it].service }, listOf(TeamId(teamKey(0).id)))

    private suspend fun makeChange(
        number: Int,
        monitor: ActivationMonitor,
    ) {
        val writer = routers[number % ROUTERS].service
        val key = teamKey(0)
        val edit = ItemEdit(key, writer.replica.find(key)?.version ?: 0, teamJson(key, number + 2))
        val outcome = writer.store.change(ChangeRequest("change-$number", "measure", listOf(edit)))
        if (outcome is ChangeOutcome.Accepted) monitor.track(outcome.sequence, clock.monotonicMs())
    }

    private fun frameBytes() = routers.sumOf { it.messenger.traffic.sentBytes + it.messenger.traffic.receivedBytes }

    private fun cpuNanos() = (ManagementFactory.getOperatingSystemMXBean() as com.sun.management.OperatingSystemMXBean).processCpuTime

    private inner class SocketRouter(
        index: Int,
    ) {
        private val identity =
            RouterIdentity(RouterId("router-$index"), VmId("vm-$index"), RegionId("region-0"), ZoneId("zone-${index % 4}"), incarnation = 1)
        val messenger = DefaultPeerMessenger(identity, { PeerSecret(SECRET.toByteArray()) }, DiscardingEventLog)
        private val membership: MembershipService =
            MembershipService(
                messenger,
                directory(),
                clock,
                DiscardingEventLog,
                Listener(),
                random = Random(index),
            ) { service.replica.sequence }
        val service: ConfigurationService =
            ConfigurationService(table, messenger, Peers(), clock, DiscardingEventLog, random = Random(100 + index))

        suspend fun bind(): RouterVm {
            val port = messenger.bind(scope, "127.0.0.1", 0)
            messenger.start()
            return RouterVm(identity.vmId, identity.routerId, identity.regionId, identity.zoneId, "127.0.0.1", port)
        }

        fun start() {
            membership.start(scope)
            service.start(scope)
        }

        private inner class Peers : ConfigurationPeers {
            override fun routerCount() = membership.routerCount()

            override fun pushTargets() = membership.pushTargets()
        }

        private inner class Listener : MembershipListener {
            override fun onPeers(
                known: List<RouterVm>,
                neighbours: Set<RouterId>,
            ) = messenger.setPeers(known.map { PeerEndpoint(it.routerId, it.vmId, it.host, it.peerPort) }, neighbours)

            override fun onConfigurationSequence(
                from: RouterId,
                sequence: Long,
            ) = service.onPeerSequence(from, sequence)
        }
    }

    private fun directory() =
        object : VmDirectory {
            override suspend fun list(): TableResult<VmList> = TableResult.Response(VmList(vms.toList(), emptyList(), clock.wallClockMs()))
        }

    /** Serializes the calls, because the in-memory table is not thread-safe. */
    private fun lockedTable(delegate: TableService) =
        object : TableService {
            override suspend fun read(keys: List<String>) = tableLock.withLock { delegate.read(keys) }

            override suspend fun scan(
                prefix: String,
                afterKey: String?,
                limit: Int,
            ) = tableLock.withLock { delegate.scan(prefix, afterKey, limit) }

            override suspend fun commit(transaction: org.lycheemount.platform.TableTransaction) =
                tableLock.withLock { delegate.commit(transaction) }

            override suspend fun findTransaction(transactionId: String) = tableLock.withLock { delegate.findTransaction(transactionId) }
        }

    private companion object {
        private const val ROUTERS = 7
        private const val STARTUP_MS = 3_000L

        // Enough for the JIT compiler to replace interpreted code, whose CPU time would distort the figures.
        private const val WARM_UP_CHANGES = 200
        private const val WARM_UP_INTERVAL_MS = 25L
        private const val CHANGES = 30
        private const val CHANGE_INTERVAL_MS = 500L
        private const val SAMPLE_INTERVAL_MS = 5L
        private const val SECRET = "secret of the measured fleet on loopback"
    }
}
