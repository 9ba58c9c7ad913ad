package org.lycheemount.scheduling

import org.lycheemount.common.BackendServer
import org.lycheemount.common.RouterId
import org.lycheemount.common.SoftwareVersion
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import kotlin.random.Random

/**
 * Routers with the real scheduler, in virtual time, whose callers send requests to servers in three zones. A zone is lost and comes back
 * with new, cold runs of its servers. Each router has a monotonic clock of its own and reads the list of routers every 3 s and the rows of
 * the servers every second.
 *
 * @param policy null if routers don't limit requests to cold servers.
 */
internal class ColdServerFleet(
    routerCount: Int,
    private val policy: ColdLimitPolicy?,
    private val coldPerS: Double = 9.0,
    private val serversPerZone: Int = 10,
    private val requestsPerServerS: Double = 4.5,
) {
    private val random = Random(routerCount)
    private val events = sortedMapOf<Long, MutableList<() -> Unit>>()
    private val routers = ArrayList<Router>()
    private val rows = HashMap<Int, Row>()
    private var requestCount = 0

    var nowMs = 0L
        private set

    val requests = ArrayList<Request>()
    var refusedRequests = 0
        private set

    /** While set, no router can reach the table. */
    var isStoreGone = false

    class Row(
        val server: BackendServer,
        val coldUntilMs: Long,
    )

    class Request(
        val server: Int,
        val sentAtMs: Long,
        val arrivedAtMs: Long,
    )

    inner class Router(
        val id: RouterId,
    ) {
        private val clockOffsetMs = random.nextLong(1_000_000)
        private var scheduler = newScheduler()
        private var restarts = 0
        private var nextListAtMs = nowMs + random.nextLong(LIST_INTERVAL_MS)
        private var nextRowsAtMs = nowMs
        private val clockMs get() = nowMs + clockOffsetMs

        /** Whether this router reads the list of routers. */
        var readsRouters = true

        private fun newScheduler() = DefaultRequestScheduler(ZoneId("z0"), random.nextLong()).apply { onWorkClasses(listOf(urgentClass)) }

        fun restart() {
            restarts++
            scheduler = newScheduler()
            nextListAtMs = nowMs
            nextRowsAtMs = nowMs
        }

        fun step(demandPerS: Double) {
            if (!isStoreGone && nowMs >= nextRowsAtMs) readRows()
            if (!isStoreGone && readsRouters && nowMs >= nextListAtMs) readRouters()
            if (random.nextDouble() < demandPerS * STEP_MS / 1_000) submit()
            scheduler.startsAt(clockMs).forEach(::start)
        }

        private fun readRows() {
            nextRowsAtMs = nowMs + ROWS_INTERVAL_MS
            val cold =
                rows.values.filter { it.coldUntilMs > nowMs }.map { row ->
                    val slotsPerS = (policy ?: ColdLimitPolicy()).slotsPerS(coldPerS)
                    ColdServer(row.server.backendServerId, row.server.vmId, slotsPerS, row.coldUntilMs + clockOffsetMs)
                }
            if (policy != null) scheduler.onColdServers(cold, clockMs)
            scheduler.onBackendServers(rows.values.map { it.server }, clockMs)
        }

        private fun readRouters() {
            nextListAtMs = nowMs + LIST_INTERVAL_MS
            val errorMs = random.nextLong(MAX_CLOCK_ERROR_MS)
            scheduler.onRouterFleet(RouterFleet(id, routers.map { it.id }, nowMs - clockMs - errorMs), clockMs)
        }

        private fun submit() {
            val item = item("${id.value}-${requestCount++}", arrivedAtMs = clockMs, deadlineAtMs = clockMs + 2_000)
            if (scheduler.submit(item, clockMs) is SubmitOutcome.Refused) refusedRequests++
        }

        private fun start(start: SchedulerAction.Start) {
            val server =
                start.backendServerId.value
                    .removePrefix("s")
                    .toInt()
            val isUp = server in rows
            if (isUp) requests += Request(server, nowMs, nowMs + 1 + random.nextLong(MAX_TRAVEL_MS))
            val run = restarts
            after(SERVICE_MS) {
                if (run != restarts) return@after
                val event = if (isUp) ServiceEvent.Completed(outputTokens = 16) else ServiceEvent.Failed(FailureKind.CONNECT_FAILED)
                scheduler.onServiceEvent(start.requestId, event, clockMs)
            }
        }
    }

    init {
        repeat(routerCount) { addRouter() }
        (0 until ZONES * serversPerZone).forEach { startServer(it, coldMs = 0) }
    }

    fun router(index: Int) = routers[index]

    fun addRouter() = Router(RouterId("router-${routers.size}")).also { routers += it }

    private fun startServer(
        index: Int,
        coldMs: Long,
    ) {
        val run = BackendServer(server(index).backendServerId, VmId("s$index@$nowMs"), zoneOf(index), "127.0.0.1", 1, setOf(model))
        rows[index] = Row(run.copy(softwareVersion = SoftwareVersion.UNSTATED), nowMs + coldMs)
    }

    private fun zoneOf(index: Int) = ZoneId("z${index / serversPerZone}")

    /** Servers of the first [zones] zones. */
    fun serversOf(zones: Int) = 0 until zones * serversPerZone

    fun loseZones(zones: Int) = serversOf(zones).forEach { rows.remove(it) }

    /** All servers of the first [zones] zones start again and are cold for [coldMs]. */
    fun returnZones(
        zones: Int,
        coldMs: Long,
    ) = serversOf(zones).forEach { startServer(it, coldMs) }

    fun runUntil(endMs: Long) {
        val demandPerS = requestsPerServerS * ZONES * serversPerZone / routers.size
        while (nowMs < endMs) {
            nowMs += STEP_MS
            while (events.isNotEmpty() && events.firstKey() <= nowMs) events.remove(events.firstKey())?.forEach { it() }
            routers.forEach { it.step(demandPerS) }
        }
    }

    /** The most requests that a server among [servers] got of those sent and arrived in one second between [fromMs] and [untilMs]. */
    fun mostRequestsInASecond(
        servers: IntRange,
        fromMs: Long,
        untilMs: Long,
    ): Int =
        servers.maxOf { server ->
            val own = requests.filter { it.server == server && it.sentAtMs >= fromMs && it.arrivedAtMs < untilMs }
            own.maxOfOrNull { first -> own.count { it.sentAtMs >= first.sentAtMs && it.arrivedAtMs < first.sentAtMs + 1_000 } } ?: 0
        }

    /** Requests a second and server that [servers] got. */
    fun requestsPerServerS(
        servers: IntRange,
        fromMs: Long,
        untilMs: Long,
    ): Double =
        requests.count { it.server in servers && it.sentAtMs in fromMs until untilMs } * 1_000.0 / (untilMs - fromMs) / servers.count()

    private fun after(
        delayMs: Long,
        event: () -> Unit,
    ) {
        events.getOrPut(nowMs + delayMs) { ArrayList() } += event
    }

    private companion object {
        private const val ZONES = 3
        private const val STEP_MS = 10L
        private const val MAX_TRAVEL_MS = 20L
        private const val SERVICE_MS = 100L
        private const val ROWS_INTERVAL_MS = 1_000L
        private const val LIST_INTERVAL_MS = 3_000L
        private const val MAX_CLOCK_ERROR_MS = 100L
    }
}
