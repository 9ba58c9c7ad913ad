package org.lycheemount.measure.control

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.lycheemount.common.DefaultClock
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.config.ChangeOutcome
import org.lycheemount.config.ChangeRequest
import org.lycheemount.config.ConfigurationPeers
import org.lycheemount.config.ConfigurationService
import org.lycheemount.config.ItemEdit
import org.lycheemount.config.ItemKey
import org.lycheemount.config.ItemKind
import org.lycheemount.membership.MembershipListener
import org.lycheemount.membership.MembershipService
import org.lycheemount.peer.socket.DefaultPeerMessenger
import org.lycheemount.peer.socket.PeerEndpoint
import org.lycheemount.peer.socket.PeerSecret
import org.lycheemount.platform.RouterVm
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.VmDirectory
import org.lycheemount.platform.VmList
import org.lycheemount.testing.FakeEventLog
import org.lycheemount.testing.FakeTableService
import java.lang.management.ManagementFactory
import kotlin.random.Random

/** Seven routers with the real membership and configuration services over TCP on loopback, with the table in memory, in real time. */
internal class SocketFleet {
    private val clock = DefaultClock()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val table = MeteredTable(FakeTableService(clock), clock)
    private val vms = mutableListOf<RouterVm>()
    private val messengers = mutableListOf<DefaultPeerMessenger>()
    private val routers = mutableListOf<SocketRouter>()
    private val random = Random(1)

    fun run(): List<Pair<String, Any>> =
        try {
            runBlocking(Dispatchers.Default) {
                withTimeout(GIVE_UP_MS) {
                    start()
                    measure()
                }
            }
        } finally {
            scope.cancel()
        }

    private suspend fun start() {
        repeat(ROUTERS) { index ->
            val identity = RouterIdentity(RouterId("router-$index"), VmId("vm-$index"), RegionId("r"), ZoneId("z"), clock.wallClockMs())
            val messenger = DefaultPeerMessenger(identity, PeerSecret(ByteArray(32) { 7 }), FakeEventLog())
            val port = messenger.start(scope, "127.0.0.1", 0)
            vms += RouterVm(identity.vmId, identity.routerId, identity.regionId, identity.zoneId, "127.0.0.1", port)
            messengers += messenger
        }
        messengers.mapTo(routers) { SocketRouter(it) }
        routers.forEach { it.start() }
        while (routers.any { !it.configuration.replica.loaded || it.messenger.connectedPeers().size < ROUTERS - 1 }) delay(10)
    }

    private suspend fun measure(): List<Pair<String, Any>> {
        val samples = Samples()
        val bytesBefore = messengers.sumOf { it.traffic.sentBytes }
        val cpuBefore = cpuNanos()
        val startNanos = System.nanoTime()
        repeat(CHANGES) { number ->
            val sequence = change(number)
            val acceptedNanos = System.nanoTime()
            var waiting: List<SocketRouter> = routers
            while (waiting.isNotEmpty()) {
                val (done, left) = waiting.partition { it.configuration.replica.sequence >= sequence }
                done.forEach { _ -> samples.add((System.nanoTime() - acceptedNanos) / NANOS_PER_MICRO) }
                waiting = left
                if (left.isNotEmpty()) delay(1)
            }
            delay(CHANGE_INTERVAL_MS)
        }
        val elapsedSeconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND
        val sent = messengers.sumOf { it.traffic.sentBytes } - bytesBefore
        return samples.figures("sockets_7_in_force_us") +
            ("sockets_7_sent_bytes_per_second_per_node" to (sent / elapsedSeconds / ROUTERS).toLong()) +
            (
                "sockets_7_cpu_permille_of_core_per_node" to
                    "%.2f".format((cpuNanos() - cpuBefore) / elapsedSeconds / ROUTERS / NANOS_PER_MILLI)
            )
    }

    private suspend fun change(number: Int): Long {
        val store = routers.random(random).configuration.store
        val edit = ItemEdit(ItemKey(ItemKind.TEAM, "team-$number"), 0, teamBody("team-$number", 0))
        val outcome = store.change(ChangeRequest("change-$number", "measure", listOf(edit)))
        check(outcome is ChangeOutcome.Accepted) { "$outcome" }
        return outcome.sequence
    }

    private fun cpuNanos(): Long = (ManagementFactory.getOperatingSystemMXBean() as com.sun.management.OperatingSystemMXBean).processCpuTime

    private inner class SocketRouter(
        val messenger: DefaultPeerMessenger,
    ) : MembershipListener,
        ConfigurationPeers,
        VmDirectory {
        val configuration = ConfigurationService(table, messenger, this, clock, FakeEventLog())
        private val membership =
            MembershipService(messenger, this, clock, FakeEventLog(), this) { configuration.replica.sequence }

        fun start() {
            membership.start(scope)
            configuration.start(scope)
        }

        override suspend fun list() = TableResult.Answered(VmList(vms, emptyList(), clock.wallClockMs()))

        override fun routerCount(): Int = membership.routerCount()

        override fun pushTargets(): List<RouterId> = membership.pushTargets()

        override fun onPeers(
            known: List<RouterVm>,
            neighbours: Set<RouterId>,
        ) = messenger.setPeers(known.map { PeerEndpoint(it.routerId, it.vmId, it.host, it.peerPort) }, neighbours)

        override fun onConfigurationSequence(
            from: RouterId,
            sequence: Long,
        ) = configuration.onPeerSequence(from, sequence)
    }

    private companion object {
        private const val ROUTERS = 7
        private const val CHANGES = 30
        private const val CHANGE_INTERVAL_MS = 500L
        private const val GIVE_UP_MS = 120_000L
        private const val NANOS_PER_MICRO = 1_000L
        private const val NANOS_PER_MILLI = 1_000_000.0
        private const val NANOS_PER_SECOND = 1e9
    }
}
