package org.lycheemount.app.router.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import org.lycheemount.caller.WorkDispatcher
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.Refusal
import org.lycheemount.common.RegionId
import org.lycheemount.common.RequestId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.ServiceId
import org.lycheemount.common.TeamId
import org.lycheemount.common.VmId
import org.lycheemount.common.WorkClassId
import org.lycheemount.common.ZoneId
import org.lycheemount.platform.follow
import org.lycheemount.scheduling.ServiceEvent
import org.lycheemount.scheduling.WorkItem
import org.lycheemount.scheduling.createRequestScheduler
import org.lycheemount.stream.AttemptPermit
import org.lycheemount.testing.FakeEventLog
import org.lycheemount.testing.FakePeerNetwork
import kotlin.random.Random

/**
 * Routers that send requests to servers of three zones and follow the operator's rows, in virtual time. Each router has a monotonic clock
 * of its own. A router takes requests from its first read of the rows on.
 *
 * @param followsEvacuations false for routers that ignore the rows of evacuations.
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal class EvacuatedZoneFleet(
    private val scope: TestScope,
    routerCount: Int,
    private val followsEvacuations: Boolean = true,
) {
    private val random = Random(routerCount)
    private val network = FakePeerNetwork(scope.backgroundScope)
    private var requestCount = 0
    val rows = OperatorRows()

    /** Whether the store responds to any router. */
    var isStoreUp = true

    val servers =
        List(2 * ZONES) {
            BackendServer(BackendServerId("s$it"), VmId("vm$it"), zone(it % ZONES), "127.0.0.1", 1, setOf(TARGET))
        }

    /** Requests that have reached servers. */
    val arrivals = ArrayList<Arrival>()

    /** Outcomes of all requests. */
    val outcomes = ArrayList<Outcome>()

    class Arrival(
        val zoneId: ZoneId,
        val router: Int,
        val atMs: Long,
    )

    /** @property refusal null if the request was served. */
    class Outcome(
        val sentAtMs: Long,
        val endedAtMs: Long,
        val refusal: Refusal?,
    )

    inner class Router(
        val index: Int,
    ) {
        private val id = RouterId("r$index")
        private val clock = scope.virtualClock(offsetMs = random.nextLong(1_000_000))
        private lateinit var process: Job
        private lateinit var dispatcher: WorkDispatcher
        private var incarnation = 0L
        private var isReady = false

        /** Whether this router reaches the store while it is up. */
        var reachesStore = true
        val eventLog = FakeEventLog()

        /** The sources of the evacuations and restorations that this router has learned of. */
        val sources get() = eventLog.events.filter { it.first.startsWith("zone_") }.map { it.first to it.second["source"] }

        init {
            start()
        }

        private fun start() {
            process = Job(scope.backgroundScope.coroutineContext.job)
            dispatcher = WorkDispatcher(createRequestScheduler(zone(index % ZONES), seed = random.nextLong()), clock)
            val messenger =
                network.join(RouterIdentity(id, VmId(id.value), RegionId("region"), zone(index % ZONES), incarnation = ++incarnation))
            val exchange = PeerEvacuationExchange(messenger, clock, eventLog)
            val evacuations = ZoneEvacuationState(dispatcher, clock, eventLog, exchange::announce)
            dispatcher.start(processScope())
            dispatcher.onBackendServers(servers)
            evacuations.onBackendServers(servers)
            if (followsEvacuations) exchange.start(processScope(), evacuations)
            val listener =
                if (followsEvacuations) ZoneEvacuationRowListener(evacuations, eventLog) else CombinedRowListener()
            val readyListener = ReadyListener { isReady = true }
            val feed = rows.Feed(latencyMs = 1L + index % MAX_LATENCY_MS) { isStoreUp && reachesStore }
            processScope().launch { feed.follow(CombinedRowListener(listener, readyListener), pollIntervalMs = 0, RETRY_INTERVAL_MS) }
        }

        private fun processScope() = CoroutineScope(scope.backgroundScope.coroutineContext + process)

        /** Ends the process and starts another one, which knows nothing of before. */
        suspend fun restart() {
            processScope().cancel()
            network.leave(id)
            isReady = false
            delay(RESTART_MS)
            start()
        }

        /** Cuts this router off from the others. */
        fun cutOffFromPeers() = network.partition(listOf(id), routers.map { it.id } - id)

        /** Sends a request of a caller every [intervalMs]. */
        fun startCallers(intervalMs: Long) {
            scope.backgroundScope.launch {
                delay(random.nextLong(intervalMs))
                while (true) {
                    if (isReady) processScope().launch { send() }
                    delay(intervalMs)
                }
            }
        }

        private suspend fun send() {
            val sentAtMs = scope.currentTime
            val item = item(clock.monotonicMs())
            when (val permit = dispatcher.acquire(item)) {
                is AttemptPermit.Granted -> {
                    arrivals += Arrival(permit.server.zoneId, index, scope.currentTime)
                    delay(SERVICE_MS)
                    dispatcher.onServiceEvent(item.requestId, ServiceEvent.Completed(outputTokens = 0))
                    outcomes += Outcome(sentAtMs, scope.currentTime, refusal = null)
                }

                is AttemptPermit.Refused -> outcomes += Outcome(sentAtMs, scope.currentTime, permit.refusal)
            }
        }
    }

    val routers = List(routerCount) { Router(it) }

    /** Ends all cuts between routers. */
    fun healPeerLinks() = network.heal()

    fun evacuate(zoneId: ZoneId) = rows.put("evacuate/${zoneId.value}", "{}")

    fun endEvacuation(zoneId: ZoneId) = rows.put("evacuate/${zoneId.value}", value = null)

    /** Routers whose requests have reached servers of [zoneId] after [afterMs]. */
    fun routersSendingTo(
        zoneId: ZoneId,
        afterMs: Long,
    ): Set<Int> = arrivals.filter { it.zoneId == zoneId && it.atMs > afterMs }.mapTo(HashSet()) { it.router }

    private fun item(nowMs: Long) =
        WorkItem(
            RequestId("r${requestCount++}"),
            TeamId("t"),
            WorkClassId("c"),
            TARGET,
            promptTokens = 0,
            maxOutputTokens = 0,
            prefixHashes = emptyList(),
            arrivedAtMs = nowMs,
            deadlineAtMs = nowMs + DEADLINE_MS,
        )

    companion object {
        private const val ZONES = 3
        private val TARGET = BackendTarget.Service(ServiceId("s"))
        private const val SERVICE_MS = 30L
        private const val RESTART_MS = 500L
        private const val DEADLINE_MS = 5_000L
        private const val RETRY_INTERVAL_MS = 400L
        private const val MAX_LATENCY_MS = 10L

        fun zone(index: Int) = ZoneId("z$index")
    }
}
