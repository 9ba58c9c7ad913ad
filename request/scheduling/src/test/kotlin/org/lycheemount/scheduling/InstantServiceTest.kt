package org.lycheemount.scheduling

import org.junit.jupiter.api.Nested
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.RequestId
import org.lycheemount.common.ServiceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class InstantServiceTest {
    private val service = BackendTarget.Service(ServiceId("lookup"))
    private val scheduler = scheduler(listOf(server(0).copy(targets = setOf(service))))
    private var requestCount = 0

    private fun submit(
        team: String,
        nowMs: Long,
    ): RequestId {
        val item = item("r${requestCount++}", team, arrivedAtMs = nowMs).copy(target = service)
        assertIs<SubmitOutcome.Queued>(scheduler.submit(item, nowMs))
        return item.requestId
    }

    @Nested
    inner class `a service that has responded within the same millisecond` {
        @Test
        fun `serves a burst of one team and then the other teams, guarding against a queue that fails at each choice`() {
            scheduler.complete(submit("team-a", nowMs = 0), nowMs = 0)
            val burst = List(30) { submit("team-a", nowMs = 10) }

            val served = scheduler.serveAll(fromMs = 10)
            val others = List(6) { submit("team-${'b' + it % 2}", nowMs = 1_000) }

            assertEquals(burst.toSet(), served)
            assertEquals(others.toSet(), scheduler.serveAll(fromMs = 1_000))
        }

        private fun DefaultRequestScheduler.complete(
            requestId: RequestId,
            nowMs: Long,
        ) {
            assertEquals(listOf(requestId), startsAt(nowMs).map { it.requestId })
            onServiceEvent(requestId, ServiceEvent.Completed(outputTokens = 0), nowMs)
        }

        /** Starts and completes requests for 500 ms and returns those that were served. */
        private fun DefaultRequestScheduler.serveAll(fromMs: Long): Set<RequestId> =
            (fromMs until fromMs + 500)
                .flatMap { nowMs ->
                    startsAt(nowMs).map { it.requestId }.onEach { onServiceEvent(it, ServiceEvent.Completed(outputTokens = 0), nowMs) }
                }.toSet()
    }
}
