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
import org.lycheemount.caller.routed.ServerStatements
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.RegionId
import org.lycheemount.common.RequestId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.ServiceId
import org.lycheemount.common.TeamId
import org.lycheemount.common.VmId
import org.lycheemount.common.WorkClassId
import org.lycheemount.common.ZoneId
import org.lycheemount.scheduling.ServiceEvent
import org.lycheemount.scheduling.WorkItem
import org.lycheemount.scheduling.createRequestScheduler
import org.lycheemount.stream.AttemptPermit
import org.lycheemount.testing.FakeEventLog
import org.lycheemount.testing.FakePeerNetwork
import kotlin.random.Random

/**
 * Routers that send requests of callers to servers which say in their responses that they leave, in virtual time. Each router has a
 * monotonic clock of its own. No router knows the clock of the table.
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal class LeavingServerFleet(
    private val scope: TestScope,
    routerCount: Int,
    serverCount: Int = 3,
) {
    private val random = Random(routerCount)
    private val network = FakePeerNetwork(scope.backgroundScope)
    private var requestCount = 0

    inner class Server(
        val index: Int,
    ) {
        /** Number of its starts. */
        var run = 1

        /** Whether its responses say that it leaves. */
        var isLeaving = false

        val description get() =
            BackendServer(BackendServerId("s$index"), VmId("s$index@$run"), ZoneId("z"), "127.0.0.1", 1, setOf(TARGET))
    }

    val servers = List(serverCount) { Server(it) }

    /** Requests that have reached servers. */
    val arrivals = ArrayList<Arrival>()

    /** Outcomes of all requests. */
    val outcomes = ArrayList<Outcome>()

    /**
     * @property sentAtMs time at which the caller sent the request.
     * @property passedOnAtMs time at which the router had passed on a first response in which this run of the server says that it
     *   leaves; null if it has not.
     */
    class Arrival(
        val server: BackendServer,
        val router: Int,
        val sentAtMs: Long,
        val passedOnAtMs: Long?,
    ) {
        val isLate get() = passedOnAtMs != null && sentAtMs > passedOnAtMs + DRAIN_MS
    }

    /** @property retryAfterMs set if the router has refused the request. */
    class Outcome(
        val sentAtMs: Long,
        val endedAtMs: Long,
        val isServed: Boolean,
        val retryAfterMs: Long?,
    )

    val lateArrivals get() = arrivals.filter { it.isLate }

    inner class Router(
        val index: Int,
    ) {
        private val id = RouterId("r$index")
        private val clock = scope.virtualClock(offsetMs = random.nextLong(1_000_000))
        private val passedOnAtMs = HashMap<VmId, Long>()
        private lateinit var process: Job
        private var incarnation = 0L
        private lateinit var dispatcher: WorkDispatcher
        private lateinit var statements: ServerStatements

        init {
            start()
        }

        private fun start() {
            process = Job(scope.backgroundScope.coroutineContext.job)
            dispatcher = WorkDispatcher(createRequestScheduler(ZoneId("z"), seed = random.nextLong()), clock)
            val messenger =
                network.join(RouterIdentity(id, VmId(id.value), RegionId("region"), ZoneId("z"), incarnation = ++incarnation))
            val exchange = PeerStatementExchange(messenger, clock, FakeEventLog()) { null }
            statements = ServerStatements(dispatcher, clock, FakeEventLog(), exchange::announce, exchange::announceLeaving)
            exchange.start(processScope(), statements)
            dispatcher.start(processScope())
            list()
        }

        private fun processScope() = CoroutineScope(scope.backgroundScope.coroutineContext + process)

        /** Ends the process and starts another one, which knows nothing of before. */
        suspend fun restart() {
            processScope().cancel()
            network.leave(id)
            passedOnAtMs.clear()
            delay(RESTART_MS)
            start()
        }

        /** Cuts this router off from the others. */
        fun cutOff() = network.partition(listOf(id), routers.map { it.id } - id)

        /** Reads the list of servers. */
        fun list(listed: List<BackendServer> = servers.map { it.description }) = statements.onBackendServers(listed)

        /** Sends a request of a caller every [intervalMs]. */
        fun startCallers(intervalMs: Long) {
            scope.backgroundScope.launch {
                delay(random.nextLong(intervalMs))
                while (true) {
                    processScope().launch { send() }
                    delay(intervalMs)
                }
            }
        }

        /** Sends a request to the server that the router chooses. */
        suspend fun send() {
            val sentAtMs = scope.currentTime
            val item = item(clock.monotonicMs())
            when (val permit = dispatcher.acquire(item)) {
                is AttemptPermit.Granted -> exchange(item.requestId, permit.server, sentAtMs)
                is AttemptPermit.Refused -> record(sentAtMs, isServed = false, permit.refusal.retryAfterMs)
            }
        }

        private suspend fun exchange(
            requestId: RequestId,
            server: BackendServer,
            sentAtMs: Long,
        ) {
            val forwardedAtMs = clock.monotonicMs()
            delay(TRAVEL_MS)
            arrivals += Arrival(server, index, sentAtMs, passedOnAtMs[server.vmId])
            delay(SERVICE_MS)
            val isLeaving = servers.single { it.description.backendServerId == server.backendServerId }.isLeaving
            delay(TRAVEL_MS)
            if (isLeaving) statements.onLeavingResponse(server) else statements.onOtherResponse(server, forwardedAtMs)
            dispatcher.onServiceEvent(requestId, ServiceEvent.Completed(outputTokens = 0))
            if (isLeaving) passedOnAtMs.putIfAbsent(server.vmId, scope.currentTime)
            record(sentAtMs, isServed = true, retryAfterMs = null)
        }
    }

    val routers = List(routerCount) { Router(it) }

    private fun record(
        sentAtMs: Long,
        isServed: Boolean,
        retryAfterMs: Long?,
    ) {
        outcomes += Outcome(sentAtMs, scope.currentTime, isServed, retryAfterMs)
    }

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

    private companion object {
        private val TARGET = BackendTarget.Service(ServiceId("s"))
        private const val TRAVEL_MS = 3L
        private const val SERVICE_MS = 30L
        private const val RESTART_MS = 500L
        private const val DEADLINE_MS = 5_000L
        private const val DRAIN_MS = 2_000L
    }
}
