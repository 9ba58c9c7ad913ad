package org.lycheemount.measure.control

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import org.lycheemount.common.Clock
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
import org.lycheemount.config.PropagationSettings
import org.lycheemount.membership.MembershipListener
import org.lycheemount.membership.MembershipService
import org.lycheemount.platform.RouterVm
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.VmDirectory
import org.lycheemount.platform.VmList
import org.lycheemount.testing.FakePeerNetwork
import org.lycheemount.testing.FakeTableLink
import org.lycheemount.testing.FakeTableService
import java.lang.management.ManagementFactory
import kotlin.math.ln
import kotlin.random.Random

/**
 * Size and load of a simulated fleet.
 *
 * @property usesPeers whether routers exchange changes and membership; the baseline (false) only polls the table.
 * @property changesPerSecond mean rate of changes; the times between them are exponentially distributed.
 */
internal data class FleetParameters(
    val routers: Int,
    val regions: Int,
    val usesPeers: Boolean = true,
    val propagation: PropagationSettings = PropagationSettings(),
    val teams: Int = 2_000,
    val models: Int = 10,
    val changesPerSecond: Double = 55_000.0 / 86_400,
    val seed: Int = 1,
)

/** Runs the real configuration and membership services of every router over an in-memory network and table in virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class ControlFleet(
    val parameters: FleetParameters,
) {
    private val scheduler = TestCoroutineScheduler()
    private val scope = CoroutineScope(StandardTestDispatcher(scheduler) + SupervisorJob())
    private val random = Random(parameters.seed)
    private val clock = SchedulerClock()
    private val fakeTable = FakeTableService(clock)
    private val network = FakePeerNetwork(scope, latencyMs = ZONE_LATENCY_MS, seed = parameters.seed)
    private val locations = (0 until parameters.routers).map { Location(it) }
    private val threadMxBean = ManagementFactory.getThreadMXBean()
    private val changedTeams = (0 until CHANGED_TEAMS).map { TeamId(teamKey(it).id) }
    private var changeJob: Job? = null
    private var lastChangeNumber = 1

    val table = CountingTableService(fakeTable, clock)
    val frameCounters = locations.associate { it.routerId to FrameCounter() }
    val routers = locations.map { Router(it) }
    val monitor = ActivationMonitor(parameters.routers, { routers[it].service }, changedTeams)

    /** CPU time of the simulated routers, without that of [monitor]. */
    var cpuNanos = 0L
        private set

    var rejectedChanges = 0
        private set

    val nowMs: Long get() = scheduler.currentTime

    /** Writes the initial configuration and starts all routers. */
    fun start() {
        val messenger = network.join(locations[0].identity(0))
        val writer = ConfigurationService(table, messenger, TableOnlyPeers(1), clock, DiscardingEventLog, random = Random(1))
        val writing = scope.launch { writeInitialConfiguration(writer.store, parameters.teams, parameters.models) }
        scheduler.advanceTimeBy(STARTUP_MS)
        check(writing.isCompleted && !writing.isCancelled) { "the initial configuration was not written" }
        network.leave(locations[0].routerId)
        routers.forEach { it.start() }
        advance(STARTUP_MS)
        check(routers.all { it.service.replica.isLoaded }) { "routers did not load the configuration" }
    }

    /** Starts changes at random routers that are loaded and connected to the table. */
    fun startChanges() {
        changeJob =
            scope.launch {
                while (true) {
                    delay((-ln(1 - random.nextDouble()) / parameters.changesPerSecond * MS_PER_SECOND).toLong())
                    makeChange()
                }
            }
    }

    fun stopChanges() {
        changeJob?.cancel()
    }

    /** Makes [count] changes, each after the outcome of the previous one. */
    fun makeChanges(count: Int) {
        val job = scope.launch { repeat(count) { makeChange() } }
        while (!job.isCompleted) advance(MS_PER_SECOND)
    }

    /** Isolates the first region, or the first zone if there is only one region, from the other routers and from the table. */
    fun isolateFirstLocation() {
        val (inside, outside) = routers.partition { it.location.region == 0 && (parameters.regions > 1 || it.location.zone == 0) }
        network.partition(inside.map { it.location.routerId }, outside.map { it.location.routerId })
        inside.forEach { it.tableLink.isPartitioned = true }
    }

    fun heal() {
        network.heal()
        routers.forEach { it.tableLink.isPartitioned = false }
    }

    fun setTableAvailable(available: Boolean) {
        fakeTable.isAvailable = available
    }

    /** Stops all routers, then starts all of them at the same virtual time. */
    fun restartAll() {
        routers.forEach { it.stop() }
        routers.forEach { it.start() }
    }

    /** Advances virtual time by [byMs]. */
    fun advance(byMs: Long) {
        val endMs = nowMs + byMs
        while (nowMs < endMs) {
            val startCpuNanos = threadMxBean.currentThreadCpuTime
            scheduler.advanceTimeBy(SAMPLE_INTERVAL_MS)
            scheduler.runCurrent()
            cpuNanos += threadMxBean.currentThreadCpuTime - startCpuNanos
            monitor.sample(nowMs)
        }
    }

    fun close() = scope.cancel()

    private suspend fun makeChange() {
        val writer = routers.filter { !it.tableLink.isPartitioned && it.service.replica.isLoaded }.randomOrNull(random) ?: return
        val key = teamKey(random.nextInt(CHANGED_TEAMS))
        val number = ++lastChangeNumber
        val expected =
            writer.service.replica
                .find(key)
                ?.version ?: 0
        val edit = ItemEdit(key, expected, teamJson(key, number))
        when (val outcome = writer.service.store.change(ChangeRequest("change-$number", "measure", listOf(edit)))) {
            is ChangeOutcome.Accepted -> monitor.track(outcome.sequence, nowMs)
            else -> rejectedChanges++
        }
    }

    /** VM, zone and region of a router. */
    internal inner class Location(
        private val index: Int,
    ) {
        val region = index % parameters.regions
        val zone = index / parameters.regions % ZONES_PER_REGION
        val routerId = RouterId("router-$index")
        private val vmId = VmId("vm-$index")
        private val regionId = RegionId("region-$region")
        private val zoneId = ZoneId("zone-$region-$zone")

        fun identity(incarnation: Long) = RouterIdentity(routerId, vmId, regionId, zoneId, incarnation)

        fun vm() = RouterVm(vmId, routerId, regionId, zoneId, "10.0.${index / 250}.${index % 250}", PEER_PORT)
    }

    /** One router process. */
    internal inner class Router(
        val location: Location,
    ) {
        private val index = locations.indexOf(location)
        private val tableLatencyMs = if (location.region == 0) ZONE_LATENCY_MS * 2 else REGION_LATENCY_MS
        val tableLink = FakeTableLink(table, scope, latencyMs = tableLatencyMs, random = Random(parameters.seed * 1_000 + index))
        private var job: Job? = null
        private var startCount = 0
        private var neighbourIds: Set<RouterId> = emptySet()
        lateinit var service: ConfigurationService
            private set

        val neighbourCount: Int get() = neighbourIds.size

        fun start() {
            startCount++
            val networkMessenger = network.join(location.identity(clock.wallClockMs()))
            val messenger = CountingMessenger(networkMessenger, scope, { neighbourIds }, ::extraDelayMs, frameCounters)
            val seed = parameters.seed * 100_000 + index * 10 + startCount
            val membership =
                MembershipService(messenger, directory, clock, DiscardingEventLog, Listener(), random = Random(seed)) { sequence() }
            val peers = if (parameters.usesPeers) MembershipPeers(membership) else TableOnlyPeers(parameters.routers)
            service = ConfigurationService(tableLink, messenger, peers, clock, DiscardingEventLog, parameters.propagation, Random(seed + 1))
            job =
                scope.launch {
                    if (parameters.usesPeers) membership.start(this)
                    service.start(this)
                }
        }

        fun stop() {
            job?.cancel()
            network.leave(location.routerId)
            neighbourIds = emptySet()
            monitor.onRestart(index)
        }

        private fun sequence() = service.replica.sequence

        private fun extraDelayMs(to: RouterId): Long = if (regionByRouter[to] == location.region) 0 else REGION_LATENCY_MS - ZONE_LATENCY_MS

        private inner class Listener : MembershipListener {
            override fun onPeers(
                known: List<RouterVm>,
                neighbours: Set<RouterId>,
            ) {
                neighbourIds = neighbours
            }

            override fun onConfigurationSequence(
                from: RouterId,
                sequence: Long,
            ) = service.onPeerSequence(from, sequence)
        }
    }

    private val regionByRouter = locations.associate { it.routerId to it.region }
    private val vms = locations.map { it.vm() }
    private val directory =
        object : VmDirectory {
            override suspend fun list(): TableResult<VmList> {
                delay(REGION_LATENCY_MS)
                return TableResult.Response(VmList(vms, emptyList(), clock.wallClockMs()))
            }
        }

    private inner class MembershipPeers(
        private val membership: MembershipService,
    ) : ConfigurationPeers {
        override fun routerCount() = membership.routerCount()

        override fun pushTargets() = membership.pushTargets()
    }

    private inner class SchedulerClock : Clock {
        override fun monotonicMs(): Long = scheduler.currentTime

        override fun wallClockMs(): Long = WALL_CLOCK_START_MS + scheduler.currentTime
    }

    private class TableOnlyPeers(
        private val routers: Int,
    ) : ConfigurationPeers {
        override fun routerCount() = routers

        override fun pushTargets() = emptyList<RouterId>()
    }

    private companion object {
        private const val MS_PER_SECOND = 1_000L
        private const val WALL_CLOCK_START_MS = 1_700_000_000_000L
        private const val STARTUP_MS = 20_000L

        // Resolution of the measured activation times.
        private const val SAMPLE_INTERVAL_MS = 10L
        private const val ZONE_LATENCY_MS = 1L
        private const val REGION_LATENCY_MS = 40L
        private const val ZONES_PER_REGION = 3
        private const val PEER_PORT = 7000
        private const val CHANGED_TEAMS = 50
    }
}
