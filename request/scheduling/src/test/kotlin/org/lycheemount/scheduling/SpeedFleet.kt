package org.lycheemount.scheduling

import org.lycheemount.common.BackendServerId
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.RequestId
import org.lycheemount.common.ServiceId
import org.lycheemount.common.ZoneId
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

private const val TICK_MS = 5L
private const val HUNDREDTHS = 100.0
private val service = BackendTarget.Service(ServiceId("service"))

/** A spell of a server from [startMs] to [endMs], in which work takes [workTime] times as long. */
internal class SlowSpell(
    val startMs: Long,
    val endMs: Long,
    val workTime: Double,
)

/** Slow spells of one server: [share] of the time, [spellMs] each, at random times. */
internal fun slowSpells(
    random: Random,
    untilMs: Long,
    share: Double = 0.15,
    spellMs: Long = 600,
    workTime: Double = 2.5,
): List<SlowSpell> {
    val meanPauseMs = spellMs * (1 - share) / share
    val spells = ArrayList<SlowSpell>()
    var startMs = (-ln(1 - random.nextDouble()) * meanPauseMs).toLong()
    while (startMs < untilMs) {
        spells += SlowSpell(startMs, startMs + spellMs, workTime)
        startMs += spellMs + (-ln(1 - random.nextDouble()) * meanPauseMs).toLong()
    }
    return spells
}

/**
 * Servers of different speeds and several routers, each with its own scheduler, in virtual time. A server tells its load, and with
 * [reportsWorkTime] how long work takes, in its responses only.
 *
 * @param speeds lasting speed of each server relative to the usual one.
 * @param spells slow spells of each server.
 */
internal class SpeedFleet(
    private val speeds: List<Double>,
    private val spells: List<List<SlowSpell>> = speeds.map { emptyList() },
    private val reportsWorkTime: Boolean = false,
    routerCount: Int = 1,
    private val slots: Int = 8,
    private val workMs: Double = 100.0,
    private val targetMs: Long = 200,
) {
    private class Work(
        val requestId: RequestId,
        val router: Int,
        var remainingMs: Double,
    )

    private val workClass = urgentClass.copy(firstTokenTargetMs = targetMs * 10, completionTargetMs = targetMs * 10)
    private var servers = speeds.indices.map { server(it).copy(targets = setOf(service)) }
    private val routers =
        (0 until routerCount).map { index ->
            DefaultRequestScheduler(ZoneId("z9"), seed = index + 1L).also {
                it.onWorkClasses(listOf(workClass))
                it.onBackendServers(servers, 0)
            }
        }
    private val work = speeds.map { ArrayList<Work>() }
    private val arrivals = PriorityQueue<Double>()
    private val arrivedAtMs = HashMap<RequestId, Long>()
    private var next = 0
    private var nowMs = 0L

    /** Requests started on each server. */
    val startedOn = IntArray(speeds.size)
    var submitted = 0
        private set
    var servedInTime = 0
        private set

    /** Ticks in which a server has no work while another one has more work than slots. */
    var idleWhileOthersQueueTicks = 0
        private set

    /** Most requests on a server at once, as a multiple of its slots. */
    var greatestLoad = 0.0
        private set

    /** Removes the server [index] from the lists of all routers; its work ends. */
    fun leave(index: Int) {
        servers = servers.filter { it.backendServerId.value != "s$index" }
        routers.forEach { it.onBackendServers(servers, nowMs) }
    }

    /** Forgets the figures so far. */
    fun resetFigures() {
        startedOn.fill(0)
        submitted = 0
        servedInTime = 0
        idleWhileOthersQueueTicks = 0
        greatestLoad = 0.0
    }

    /** Serves [requestsPerS] requests a second at random times until [untilMs]. */
    fun run(
        untilMs: Long,
        requestsPerS: Double,
        random: Random = Random(7),
    ) {
        while (nowMs < untilMs) {
            if (arrivals.isEmpty()) arrivals += nowMs.toDouble()
            while (arrivals.peek() <= nowMs) {
                arrivals += arrivals.poll() - ln(1 - random.nextDouble()) * 1_000 / requestsPerS
                submit(random.nextInt(routers.size))
            }
            routers.forEachIndexed(::start)
            countLoad()
            nowMs += TICK_MS
            work.indices.forEach(::advance)
        }
    }

    private fun submit(router: Int) {
        submitted++
        val item = item("r${next++}", workClass = workClass, arrivedAtMs = nowMs).copy(target = service, promptTokens = 0)
        arrivedAtMs[item.requestId] = nowMs
        routers[router].submit(item, nowMs)
    }

    private fun start(
        index: Int,
        router: DefaultRequestScheduler,
    ) {
        for (start in router.startsAt(nowMs)) {
            val server = indexOf(start.backendServerId)
            startedOn[server]++
            work[server] += Work(start.requestId, index, workMs)
        }
    }

    private fun countLoad() {
        val listed = servers.map { indexOf(it.backendServerId) }
        val mostWork = listed.maxOf { work[it].size }
        if (mostWork > slots && listed.any { work[it].isEmpty() }) idleWhileOthersQueueTicks++
        greatestLoad = maxOf(greatestLoad, mostWork.toDouble() / slots)
    }

    private fun advance(server: Int) {
        val workTime = spells[server].firstOrNull { nowMs in it.startMs until it.endMs }?.workTime ?: 1.0
        work[server].take(slots).forEach { it.remainingMs -= TICK_MS * speeds[server] / workTime }
        val done = work[server].filter { it.remainingMs <= 0 }
        work[server].removeAll(done.toSet())
        for (request in done) {
            val running = minOf(work[server].size, slots)
            val reported = if (reportsWorkTime) WorkTimeFactor.ofHundredths(workTime * HUNDREDTHS) else null
            val report = LoadReport(BackendServerId("s$server"), 0, running, work[server].size - running, slots, reported)
            routers[request.router].onLoadReport(report, nowMs)
            routers[request.router].onServiceEvent(request.requestId, ServiceEvent.Completed(0), nowMs)
            if (nowMs - arrivedAtMs.getValue(request.requestId) <= targetMs) servedInTime++
        }
    }

    private fun indexOf(id: BackendServerId) = id.value.drop(1).toInt()
}
