package org.lycheemount.scheduling

import org.junit.jupiter.api.Nested
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.ModelId
import org.lycheemount.common.RequestId
import org.lycheemount.common.TeamId
import org.lycheemount.common.VmId
import org.lycheemount.common.WorkClassId
import org.lycheemount.common.ZoneId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/** Sends prompts of a few sessions to seven routers that do not communicate. */
class SharedPromptTest {
    private val target = BackendTarget.Model(ModelId("m"))
    private val servers =
        (1..13).map { BackendServer(BackendServerId("s$it"), VmId("s$it"), ZoneId("z${it % 3}"), "10.0.0.$it", 80, setOf(target)) }

    /**
     * Returns the share of requests that went to the server with most requests of their session. Requests run for [RUN_MS], and
     * each response reports the load that all routers cause on its server.
     */
    private fun sessionConcentration(
        declaresSharedPrefix: Boolean,
        sharedBlocks: Int = 76,
        createRouter: (Int) -> RequestScheduler = { createRequestScheduler(ZoneId("z${it % 3}"), seed = it.toLong()) },
    ): Double {
        val random = Random(7)
        val routers = (1..7).map(createRouter)
        routers.forEach { it.onBackendServers(servers, 0) }
        val startsBySession = HashMap<Int, HashMap<BackendServerId, Int>>()
        val running = ArrayDeque<Running>()
        for (number in 0 until REQUESTS) {
            val nowMs = number * GAP_MS
            while (running.isNotEmpty() && running.first().endsAtMs <= nowMs) end(running.removeFirst(), running)
            val session = random.nextInt(SESSIONS)
            val router = routers[random.nextInt(routers.size)]
            val id = RequestId("r$number")
            router.submit(item(id, session, number, nowMs, if (declaresSharedPrefix) sharedBlocks else null), nowMs)
            val start = router.poll(nowMs).filterIsInstance<SchedulerAction.Start>().singleOrNull { it.requestId == id } ?: continue
            startsBySession.getOrPut(session) { HashMap() }.merge(start.backendServerId, 1, Int::plus)
            router.onServiceEvent(id, ServiceEvent.FirstToken, nowMs + FIRST_TOKEN_MS)
            running += Running(id, router, start.backendServerId, nowMs + RUN_MS)
        }
        return startsBySession.values.sumOf { it.values.max() }.toDouble() / REQUESTS
    }

    private fun end(
        ended: Running,
        others: List<Running>,
    ) {
        val load = others.count { it.serverId == ended.serverId }
        ended.router.onServiceEvent(ended.id, ServiceEvent.Completed(outputTokens = 100), ended.endsAtMs)
        ended.router.onLoadReport(LoadReport(ended.serverId, ageMs = 0, load, queuedRequests = 0, capacity = 32), ended.endsAtMs)
    }

    private class Running(
        val id: RequestId,
        val router: RequestScheduler,
        val serverId: BackendServerId,
        val endsAtMs: Long,
    )

    private fun item(
        id: RequestId,
        session: Int,
        number: Int,
        nowMs: Long,
        declaredBlocks: Int?,
    ): WorkItem {
        val sessionBlocks = declaredBlocks ?: 76
        // The first 8 blocks are common to all prompts, the next ones to those of a session, and the rest is unique.
        val hashes =
            List(8) { it.toLong() } + List(sessionBlocks) { 1_000L * (session + 1) + it } + List(100) { 1_000_000L * (number + 1) + it }
        return WorkItem(
            requestId = id,
            teamId = TeamId("t"),
            workClassId = WorkClassId("c"),
            target = target,
            promptTokens = hashes.size * 64,
            maxOutputTokens = 200,
            prefixHashes = hashes,
            arrivedAtMs = nowMs,
            affinityHash = declaredBlocks?.let { session * 7919L + 1 },
            sharedTokens = declaredBlocks?.let { (8 + it) * 64 } ?: 0,
        )
    }

    @Nested
    inner class `prompts of a session that arrive at different routers` {
        @Test
        fun `reach the same server when their shared parts are declared, guarding against a prefill on one server per router`() {
            val declared = sessionConcentration(declaresSharedPrefix = true)
            val undeclared = sessionConcentration(declaresSharedPrefix = false)

            assertTrue(declared >= 0.8, "only $declared of the requests went to the server of their session")
            assertTrue(declared > undeclared, "$declared with declared parts, $undeclared without")
        }
    }

    @Nested
    inner class `short shared parts on engines that batch well` {
        private val speeds = InitialSpeeds(prefillMsPerToken = 0.03, decodeMsPerToken = 8.0, serviceMs = 25.0)

        private fun sessionConcentration(fullEngineSlowdown: Double) =
            sessionConcentration(declaresSharedPrefix = true, sharedBlocks = 4) {
                createRequestScheduler(ZoneId("z${it % 3}"), seed = it.toLong(), speeds, fullEngineSlowdown)
            }

        @Test
        fun `are concentrated more than with the default penalty, guarding against a penalty above the actual slowdown`() {
            val batching = sessionConcentration(fullEngineSlowdown = 0.05)
            val default = sessionConcentration(fullEngineSlowdown = SelectorWeights().modelLoadPenalty)

            assertTrue(batching > default, "$batching by a small slowdown, $default by the default")
        }
    }

    private companion object {
        private const val REQUESTS = 1_500
        private const val SESSIONS = 30
        private const val GAP_MS = 20L
        private const val FIRST_TOKEN_MS = 200L
        private const val RUN_MS = 1_500L
    }
}
