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

private const val SLOTS_PER_SERVER = 32
private const val PROMPT_BLOCKS = 60
private const val TEAMS = 10
private const val WARM_UP_DECISIONS = 10_000
private const val MEASURED_DECISIONS = 3_000
private const val NS_PER_US = 1_000.0

/** Measures the wall-clock time of one decision, from the submission to the start of a request, in microseconds. */
internal class RoutingCostMeasurement : Measurement {
    override val name = "routing-cost"

    override fun run(): List<Pair<String, Any>> {
        val figuresByServers = listOf(4, 16, 64, 256).map { "decision_us_servers_${it}_queue_100" to decisionUs(it, queueLength = 100) }
        val figuresByQueue =
            listOf(0, 100, 1_000, 4_000).map { "decision_us_servers_16_queue_$it" to decisionUs(servers = 16, queueLength = it) }
        return figuresByServers + figuresByQueue
    }

    private fun decisionUs(
        servers: Int,
        queueLength: Int,
    ): String {
        val router = SaturatedRouter(servers)
        router.fillQueue(queueLength)
        repeat(WARM_UP_DECISIONS) { router.decide() }
        val startNs = System.nanoTime()
        repeat(MEASURED_DECISIONS) { router.decide() }
        return String.format(Locale.ROOT, "%.1f", (System.nanoTime() - startNs) / NS_PER_US / MEASURED_DECISIONS)
    }

    /** A saturated router: each decision ends one request, submits another and starts one from the queue. */
    private class SaturatedRouter(
        private val serverCount: Int,
    ) {
        private val random = Random(1)
        private val target = BackendTarget.Model(ModelId("m"))
        private val scheduler: RequestScheduler = createRequestScheduler(ZoneId("z0"), seed = 1)
        private val running = ArrayDeque<RequestId>()
        private var nextRequestIndex = 0
        private var nowMs = 0L

        init {
            val traffic = trafficClasses.single { it.name == "assessment" }
            scheduler.onWorkClasses(listOf(traffic.workClass))
            scheduler.onBackendServers((0 until serverCount).map(::createServer), nowMs)
            reportLoad()
        }

        fun fillQueue(queueLength: Int) {
            repeat(serverCount * SLOTS_PER_SERVER * 2) { if (running.size < serverCount * SLOTS_PER_SERVER) submitAndStart() }
            repeat(queueLength) { scheduler.submit(createWorkItem(), nowMs) }
        }

        fun decide() {
            nowMs++
            running.removeFirstOrNull()?.let {
                scheduler.onServiceEvent(it, ServiceEvent.FirstToken, nowMs)
                scheduler.onServiceEvent(it, ServiceEvent.Completed(PROMPT_BLOCKS), nowMs)
            }
            submitAndStart()
            if (nextRequestIndex % DECISIONS_PER_REPORT == 0) reportLoad()
        }

        private fun submitAndStart() {
            scheduler.submit(createWorkItem(), nowMs)
            scheduler.poll(nowMs).filterIsInstance<SchedulerAction.Start>().forEach { running.addLast(it.requestId) }
        }

        private fun reportLoad() {
            for (index in 0 until serverCount) {
                val report = LoadReport(BackendServerId("s$index"), 0, running.size / serverCount, 0, SLOTS_PER_SERVER)
                scheduler.onLoadReport(report, nowMs)
            }
        }

        private fun createWorkItem(): WorkItem {
            val template = Random(random.nextInt(TEAMS * 4))
            val hashes = List(PROMPT_BLOCKS) { template.nextLong() }
            val team = TeamId("t${nextRequestIndex % TEAMS}")
            val workClassId = trafficClasses.single { it.name == "assessment" }.workClass.workClassId
            return WorkItem(RequestId("r${nextRequestIndex++}"), team, workClassId, target, PROMPT_BLOCKS * 32, 256, hashes, nowMs)
        }

        private fun createServer(index: Int) =
            BackendServer(BackendServerId("s$index"), VmId("v$index"), ZoneId("z${index % 3}"), "127.0.0.1", 1, setOf(target))

        private companion object {
            private const val DECISIONS_PER_REPORT = 200
        }
    }
}
