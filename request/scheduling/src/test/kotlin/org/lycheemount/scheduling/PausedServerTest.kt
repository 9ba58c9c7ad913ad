package org.lycheemount.scheduling

import org.junit.jupiter.api.Nested
import org.lycheemount.common.BackendServer
import org.lycheemount.common.VmId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class PausedServerTest {
    private val servers = listOf(server(0), server(1))
    private val scheduler = scheduler(servers)
    private val paused = servers[1]
    private val other = servers[0]

    private fun pause(
        server: BackendServer,
        atMs: Long,
        endsAtMs: Long,
    ) = scheduler.onPause(PauseStatement(server.backendServerId, server.vmId, endsAtMs), atMs)

    /** Submits [count] requests and returns the servers on which they start. */
    private fun serversOf(
        count: Int,
        nowMs: Long,
    ): List<BackendServer> {
        repeat(count) { scheduler.submit(item("r$it-$nowMs", arrivedAtMs = nowMs), nowMs) }
        return scheduler.startsAt(nowMs).map { start -> servers.single { it.backendServerId == start.backendServerId } }
    }

    @Nested
    inner class `a server that has asked for a pause` {
        @Test
        fun `gets no request until the pause ends, and then one at first`() {
            pause(paused, 0, endsAtMs = 2_000)

            assertEquals(setOf(other), serversOf(20, 1_999).toSet())
            assertEquals(1, serversOf(20, 2_000).count { it == paused })
        }

        @Test
        fun `gets no request that was queued before`() {
            repeat(400) { scheduler.submit(item("q$it"), 0) }
            val starts = scheduler.startsAt(0)
            pause(paused, 50, endsAtMs = 5_000)

            val later =
                starts.flatMap {
                    scheduler.onServiceEvent(it.requestId, ServiceEvent.Completed(outputTokens = 16), 100)
                    scheduler.startsAt(100)
                }

            assertEquals(setOf(other.backendServerId), later.map { it.backendServerId }.toSet())
        }

        @Test
        fun `gets none after the success of a request that was sent before, guarding against a pause that ends early`() {
            repeat(20) { scheduler.submit(item("q$it"), 0) }
            val starts = scheduler.startsAt(0)
            pause(paused, 50, endsAtMs = 5_000)
            starts.forEach { scheduler.onServiceEvent(it.requestId, ServiceEvent.Completed(outputTokens = 16), 100) }

            assertEquals(setOf(other), serversOf(20, 4_999).toSet())
        }

        @Test
        fun `gets none until the later end of two pauses`() {
            pause(paused, 0, endsAtMs = 5_000)
            pause(paused, 10, endsAtMs = 1_000)

            assertEquals(setOf(other), serversOf(20, 4_999).toSet())
        }

        @Test
        fun `has asked nothing for a later run`() {
            pause(paused, 0, endsAtMs = 60_000)
            scheduler.onBackendServers(listOf(other, paused.copy(vmId = VmId("vm1-later"))), 10)
            scheduler.onPause(PauseStatement(paused.backendServerId, paused.vmId, 60_000), 20)

            val starts = (0 until 20).flatMap { serversOfStarts("r$it", 30) }

            assertTrue(paused.backendServerId in starts)
        }

        private fun serversOfStarts(
            id: String,
            nowMs: Long,
        ): List<Any> {
            scheduler.submit(item(id, arrivedAtMs = nowMs), nowMs)
            return scheduler.startsAt(nowMs).map { it.backendServerId }
        }
    }

    @Nested
    inner class `while all servers pause` {
        @Test
        fun `a request that can wait for the first of them is queued and starts then`() {
            pause(other, 0, endsAtMs = 600)
            pause(paused, 0, endsAtMs = 60_000)

            assertEquals(SubmitOutcome.Queued, scheduler.submit(item("r"), 0))
            assertEquals(emptyList(), scheduler.startsAt(599))
            assertEquals(600, scheduler.nextWakeUpMs(0))
            assertEquals(listOf(other.backendServerId), scheduler.startsAt(600).map { it.backendServerId })
        }

        @Test
        fun `a request that cannot wait is refused at once, with the time after which the first of them takes requests`() {
            pause(other, 0, endsAtMs = 10_000)
            pause(paused, 0, endsAtMs = 60_000)

            val outcome = assertIs<SubmitOutcome.Refused>(scheduler.submit(item("r"), 0))

            val retryAfterMs = checkNotNull(outcome.refusal.retryAfterMs)
            assertTrue(retryAfterMs in 8_000L..20_000L, "retry after $retryAfterMs ms")
        }
    }

    /** Routers and servers that turn requests away while they are full, in virtual time. */
    @Nested
    inner class `servers that are full and ask for pauses` {
        @Test
        fun `get no more than two requests of a router in a pause, and serve nine in ten again once they can serve all`() =
            listOf(1, 7, 95).forEach { routerCount ->
                val fleet = PausingServerFleet(routerCount)

                fleet.runUntil(10_000, demand = 2.0)
                val pausesWhileFull = fleet.pauses
                fleet.runUntil(15_000, demand = 0.25)
                val requestsBefore = fleet.requests
                val servedBefore = fleet.served
                fleet.runUntil(25_000, demand = 0.25)

                assertTrue(pausesWhileFull > 10, "$pausesWhileFull pauses with $routerCount routers")
                assertTrue(fleet.mostRequestsInPause <= 2, "${fleet.mostRequestsInPause} with $routerCount routers")
                val served = (fleet.served - servedBefore).toDouble() / (fleet.requests - requestsBefore)
                assertTrue(served >= 0.9, "$served are served with $routerCount routers")
            }
    }
}
