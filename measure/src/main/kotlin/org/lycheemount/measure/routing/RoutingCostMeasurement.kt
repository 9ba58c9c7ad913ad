package org.lycheemount.measure.routing

import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.ModelId
import org.lycheemount.common.RequestId
import org.lycheemount.common.TeamId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.measure.Measurement
import org.lycheemount.scheduling.LoadReport
import org.lycheemount.scheduling.RequestScheduler
import org.lycheemount.scheduling.SchedulerAction
import org.lycheemount.scheduling.ServiceEvent
import org.lycheemount.scheduling.WorkItem
import org.lycheemount.scheduling.createRequestScheduler
import java.util.Locale
import kotlin.random.Random

private const val SLOTS = 32
private const val PROMPT_BLOCKS = 60
private const val TEAMS = 10
private const val WARM_UP_DECISIONS = 10_000
private const val MEASURED_DECISIONS = 3_000
private const val NANOS_PER_US = 1_000.0

/** Prints the processor time of one decision, from submission to the start of a request, in wall-clock microseconds. */
internal class RoutingCostMeasurement : Measurement {
    override val name = "routing-cost"

    override fun run(): List<Pair<String, Any>> {
        val byServers = listOf(4, 16, 64, 256).map { "decision_us_servers_${it}_queue_100" to decisionUs(it, queueLength = 100) }
        val byQueue = listOf(0, 100, 1_000, 4_000).map { "decision_us_servers_16_queue_$it" to decisionUs(servers = 16, queueLength = it) }
        return byServers + byQueue
    }

    private fun decisionUs(
        servers: Int,
        queueLength: Int,
    ): String {
        val bench = Bench(servers)
        bench.fill(queueLength)
        repeat(WARM_UP_DECISIONS) { bench.decide() }
        val startedAt = System.nanoTime()
        repeat(MEASURED_DECISIONS) { bench.decide() }
        return String.format(Locale.ROOT, "%.1f", (System.nanoTime() - startedAt) / NANOS_PER_US / MEASURED_DECISIONS)
    }

    /** A saturated router: each decision ends one request, submits another and starts one from the queue. */
    private class Bench(
        private val serverCount: Int,
    ) {
        private val random = Random(1)
        private val target = BackendTarget.Model(ModelId("m"))
        private val scheduler: RequestScheduler = createRequestScheduler(ZoneId("z0"), seed = 1)
        private val running = ArrayDeque<RequestId>()
        private var next = 0
        private var nowMs = 0L

        init {
            val traffic = trafficClasses.single { it.name == "assessment" }
            scheduler.onWorkClasses(listOf(traffic.workClass))
            scheduler.onBackendServers((0 until serverCount).map(::server), nowMs)
            report()
        }

        fun fill(queueLength: Int) {
            repeat(serverCount * SLOTS * 2) { if (running.size < serverCount * SLOTS) submitAndStart() }
            repeat(queueLength) { scheduler.submit(item(), nowMs) }
        }

        fun decide() {
            nowMs++
            running.removeFirstOrNull()?.let {
                scheduler.onServiceEvent(it, ServiceEvent.FirstToken, nowMs)
                scheduler.onServiceEvent(it, ServiceEvent.Completed(PROMPT_BLOCKS), nowMs)
            }
            submitAndStart()
            if (next % REPORT_EVERY == 0) report()
        }

        private fun submitAndStart() {
            scheduler.submit(item(), nowMs)
            scheduler.poll(nowMs).filterIsInstance<SchedulerAction.Start>().forEach { running.addLast(it.requestId) }
        }

        private fun report() {
            for (index in 0 until serverCount) {
                val report = LoadReport(BackendServerId("s$index"), 0, running.size / serverCount, 0, SLOTS)
                scheduler.onLoadReport(report, nowMs)
            }
        }

        private fun item(): WorkItem {
            val template = Random(random.nextInt(TEAMS * 4))
            val hashes = List(PROMPT_BLOCKS) { template.nextLong() }
            val team = TeamId("t${next % TEAMS}")
            val workClassId = trafficClasses.single { it.name == "assessment" }.workClass.workClassId
            return WorkItem(RequestId("r${next++}"), team, workClassId, target, PROMPT_BLOCKS * 32, 256, hashes, nowMs)
        }

        private fun server(index: Int) =
            BackendServer(BackendServerId("s$index"), VmId("v$index"), ZoneId("z${index % 3}"), "127.0.0.1", 1, setOf(target))

        private companion object {
            private const val REPORT_EVERY = 200
        }
    }
}
