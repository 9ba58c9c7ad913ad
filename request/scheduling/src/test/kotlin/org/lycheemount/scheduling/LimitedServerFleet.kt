package org.lycheemount.scheduling

import org.lycheemount.common.BackendServerId
import org.lycheemount.common.RouterId
import org.lycheemount.common.ZoneId
import kotlin.random.Random

/**
 * Routers with the real scheduler that send requests to servers with request limits, in virtual time. Each router has a monotonic clock of
 * its own, reads the list of routers every 3 s and hears of new limits from the others.
 *
 * @param limitAt the limit that a server names at a time, in requests a second; null for none.
 * @property demandPerS requests that callers send to each router.
 */
internal class LimitedServerFleet(
    routerCount: Int,
    var demandPerS: Double,
    private val serverCount: Int = 6,
    private val limitAt: (server: Int, nowMs: Long) -> Double?,
) {
    private val random = Random(routerCount)
    private val events = sortedMapOf<Long, MutableList<() -> Unit>>()
    private val routers = ArrayList<Router>()
    private val firstNamedAtMs = HashMap<Int, Long>()
    private var nowMs = 0L
    private var requestCount = 0

    /** Requests that have reached servers. */
    val arrivals = ArrayList<Arrival>()

    class Arrival(
        val server: Int,
        val atMs: Long,
        val isCounted: Boolean,
    )

    inner class Router(
        val id: RouterId,
    ) {
        private val clockOffsetMs = random.nextLong(1_000_000)
        private var scheduler = newScheduler()
        private val toldAtMs = HashMap<Int, Long>()
        private var nextListAtMs = nowMs + random.nextLong(LIST_INTERVAL_MS)
        private var restarts = 0

        /** While set, neither the table nor other routers can be reached. */
        var isCutOff = false

        /** Whether the rule on limits excuses this router. */
        var isExcused = false

        private val clockMs get() = nowMs + clockOffsetMs

        private fun newScheduler() = scheduler((0 until serverCount).map { server(it) }, seed = random.nextLong())

        fun restart() {
            restarts++
            scheduler = newScheduler()
            toldAtMs.clear()
            nextListAtMs = nowMs + LIST_INTERVAL_MS
        }

        fun step() {
            if (!isCutOff && nowMs >= nextListAtMs) readList()
            if (random.nextDouble() < demandPerS * STEP_MS / 1_000) submit()
            scheduler.startsAt(clockMs).forEach(::start)
        }

        private fun readList() {
            nextListAtMs = nowMs + LIST_INTERVAL_MS
            val errorMs = random.nextLong(MAX_CLOCK_ERROR_MS)
            scheduler.onRouterFleet(RouterFleet(id, routers.map { it.id }, nowMs - clockMs - errorMs), clockMs)
        }

        fun submit() {
            val request = item("${id.value}-$restarts-${requestCount++}", arrivedAtMs = clockMs, deadlineAtMs = clockMs + 2_000)
            scheduler.submit(request, clockMs)
        }

        private fun start(start: SchedulerAction.Start) {
            val server =
                start.backendServerId.value
                    .removePrefix("s")
                    .toInt()
            val sentAtMs = nowMs
            val run = restarts
            after(TRAVEL_MS) {
                arrivals += Arrival(server, nowMs, !isExcused && run == restarts && (toldAtMs[server] ?: nowMs) + 500 <= nowMs)
            }
            after(SERVICE_MS / 2) { if (run == restarts) onResponse(server, start, sentAtMs) }
            after(SERVICE_MS) {
                if (run == restarts) scheduler.onServiceEvent(start.requestId, ServiceEvent.Completed(outputTokens = 16), clockMs)
            }
        }

        private fun onResponse(
            server: Int,
            start: SchedulerAction.Start,
            sentAtMs: Long,
        ) {
            scheduler.onServiceEvent(start.requestId, ServiceEvent.FirstToken, clockMs)
            val limit = limitAt(server, sentAtMs + TRAVEL_MS)
            val isNews = (limit != null) != (server in toldAtMs)
            if (limit == null && server !in toldAtMs) return
            if (limit == null) toldAtMs.remove(server) else toldAtMs.putIfAbsent(server, nowMs)
            if (limit != null) firstNamedAtMs.putIfAbsent(server, nowMs)
            learn(server, limit, nowMs)
            if (isNews && !isCutOff) {
                after(PEER_MS) { routers.filter { it !== this && !it.isCutOff }.forEach { it.learn(server, limit, nowMs - PEER_MS) } }
            }
        }

        private fun learn(
            server: Int,
            limit: Double?,
            atMs: Long,
        ) {
            if (limit == null) toldAtMs.remove(server)
            val asOfMs = atMs + clockOffsetMs
            scheduler.onRequestLimit(RequestLimitStatement(BackendServerId("s$server"), server(server).vmId, limit, asOfMs), clockMs)
        }
    }

    init {
        repeat(routerCount) { addRouter() }
    }

    fun addRouter() = Router(RouterId("router-${routers.size}")).also { routers += it }

    fun router(index: Int) = routers[index]

    /** Callers send [requests] requests to each router at once. */
    fun submitAtEach(requests: Int) = routers.forEach { router -> repeat(requests) { router.submit() } }

    fun runUntil(endMs: Long) {
        while (nowMs < endMs) {
            nowMs += STEP_MS
            while (events.isNotEmpty() && events.firstKey() <= nowMs) events.remove(events.firstKey())?.forEach { it() }
            routers.forEach { it.step() }
        }
    }

    /** The largest number of requests of routers that had been told in any 4 s, divided by what [requestsPerS] allows. */
    fun largestShareOfAllowed(
        server: Int,
        requestsPerS: Double,
    ): Double {
        val fromMs = (firstNamedAtMs[server] ?: return 0.0) + CONTACT_MS
        val times = arrivals.filter { it.server == server && it.isCounted }.map { it.atMs }
        var first = 0
        var most = 0
        times.forEachIndexed { last, atMs ->
            while (times[first] <= atMs - WINDOW_MS) first++
            if (atMs >= fromMs) most = maxOf(most, last - first + 1)
        }
        return most / (requestsPerS * WINDOW_MS / 1_000 * 1.5 + 5)
    }

    /** Requests that reached [server] from [fromMs] on, a second. */
    fun arrivalsPerS(
        server: Int,
        fromMs: Long,
        untilMs: Long = nowMs,
    ): Double = arrivals.count { it.server == server && it.atMs in fromMs until untilMs } * 1_000.0 / (untilMs - fromMs)

    private fun after(
        delayMs: Long,
        event: () -> Unit,
    ) {
        events.getOrPut(nowMs + delayMs) { ArrayList() } += event
    }

    private companion object {
        private const val STEP_MS = 10L
        private const val TRAVEL_MS = 10L
        private const val SERVICE_MS = 100L
        private const val PEER_MS = 10L
        private const val LIST_INTERVAL_MS = 3_000L
        private const val MAX_CLOCK_ERROR_MS = 100L
        private const val CONTACT_MS = 3_000L
        private const val WINDOW_MS = 4_000L
    }
}
