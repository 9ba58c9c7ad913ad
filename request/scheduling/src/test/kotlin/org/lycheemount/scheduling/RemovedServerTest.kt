package org.lycheemount.scheduling

import org.junit.jupiter.api.Nested
import org.lycheemount.common.BackendServerId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RemovedServerTest {
    private val servers = listOf(server(0), server(1))
    private val scheduler = scheduler(servers)
    private val removed = servers[1].backendServerId
    private val remaining = servers[0].backendServerId

    /** Submits requests until some are queued; returns those that have started. */
    private fun fillServers(): List<SchedulerAction.Start> {
        repeat(400) { scheduler.submit(item("r$it"), 0) }
        val starts = scheduler.startsAt(0)
        assertEquals(setOf(removed, remaining), starts.map { it.backendServerId }.toSet())
        return starts
    }

    private fun end(starts: List<SchedulerAction.Start>): List<SchedulerAction.Start> =
        starts.flatMap {
            scheduler.onServiceEvent(it.requestId, ServiceEvent.Completed(outputTokens = 16), 100)
            scheduler.startsAt(100)
        }

    private fun serversOf(starts: List<SchedulerAction.Start>): Set<BackendServerId> = starts.map { it.backendServerId }.toSet()

    @Nested
    inner class `a server that is removed from the list` {
        @Test
        fun `gets none of the requests that were already queued`() {
            val starts = fillServers()

            scheduler.onBackendServers(servers.filter { it.backendServerId != removed }, 50)
            val laterStarts = scheduler.startsAt(50) + end(starts)

            assertTrue(laterStarts.isNotEmpty())
            assertEquals(setOf(remaining), serversOf(laterStarts))
        }

        @Test
        fun `gets no request that failed elsewhere`() {
            val starts = fillServers()
            scheduler.onBackendServers(servers.filter { it.backendServerId != removed }, 50)
            end(starts)

            val failed = scheduler.submit(item("retry", arrivedAtMs = 200, excluded = setOf(remaining)), 200)

            assertTrue(failed is SubmitOutcome.Refused)
        }

        @Test
        fun `gets requests again once it is listed again`() {
            val starts = fillServers()
            scheduler.onBackendServers(servers.filter { it.backendServerId != removed }, 50)
            end(starts)

            scheduler.onBackendServers(servers, 300)
            repeat(100) { scheduler.submit(item("n$it", arrivedAtMs = 300), 300) }

            assertTrue(removed in serversOf(scheduler.startsAt(300)))
        }
    }
}
