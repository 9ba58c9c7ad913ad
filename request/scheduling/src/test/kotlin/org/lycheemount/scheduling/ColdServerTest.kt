package org.lycheemount.scheduling

import org.junit.jupiter.api.Nested
import org.lycheemount.common.RouterId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Fleets of which a zone fails and comes back with cold servers (FAILBACK). */
class ColdServerTest {
    private val fleetSizes = listOf(7, 30, 95)
    private val policy = ColdLimitPolicy(overage = 1.5, slack = 5.0)

    /** A fleet that has lost its first zone, right before the zone returns. */
    private fun fleetBeforeReturn(
        routers: Int,
        policy: ColdLimitPolicy? = this.policy,
        zones: Int = 1,
        load: Double = 4.5,
    ) = ColdServerFleet(routers, policy, requestsPerServerS = load).apply {
        runUntil(4_000)
        loseZones(zones)
        runUntil(RETURN_AT_MS)
        returnZones(zones, COLD_MS)
    }

    private fun ColdServerFleet.assertBoundKept(zones: Int = 1) {
        val most = mostRequestsInASecond(serversOf(zones), RETURN_AT_MS, RETURN_AT_MS + COLD_MS)
        assertTrue(most <= BOUND_REQUESTS, "$most requests in a second")
    }

    private fun ColdServerFleet.runUntilWarm() = runUntil(RETURN_AT_MS + COLD_MS)

    @Nested
    inner class `a zone of cold servers that comes back at once` {
        @Test
        fun `gets no more than the bound, guarding against routers that all send to the idle servers`() {
            for (routers in fleetSizes) {
                val fleet = fleetBeforeReturn(routers)
                fleet.runUntilWarm()

                fleet.assertBoundKept()
            }
        }

        @Test
        fun `would get more without the limit, guarding against a test that cannot fail`() {
            for (routers in fleetSizes) {
                val fleet = fleetBeforeReturn(routers, policy = null, load = MODERATE_LOAD)
                fleet.runUntilWarm()
                val most = fleet.mostRequestsInASecond(fleet.serversOf(1), RETURN_AT_MS, RETURN_AT_MS + COLD_MS)

                assertTrue(most > BOUND_REQUESTS, "$most requests in a second with $routers routers")
            }
        }

        @Test
        fun `gets no more than the bound when callers ask for more`() {
            for (routers in fleetSizes) {
                val fleet = fleetBeforeReturn(routers, load = BUSY_LOAD)
                fleet.runUntilWarm()

                fleet.assertBoundKept()
            }
        }

        @Test
        fun `serves while it is cold, guarding against a limit that routers avoid`() {
            for (routers in fleetSizes) {
                val fleet = fleetBeforeReturn(routers, load = BUSY_LOAD)
                fleet.runUntilWarm()
                val cold = fleet.requestsPerServerS(fleet.serversOf(1), RETURN_AT_MS + 1_000, RETURN_AT_MS + COLD_MS)

                assertTrue(cold >= 3.0, "$cold requests a second and server with $routers routers")
            }
        }

        @Test
        fun `is loaded over some seconds once it is warm, guarding against a wave at the end of the limit`() {
            for (routers in fleetSizes) {
                val fleet = fleetBeforeReturn(routers, load = BUSY_LOAD)
                fleet.runUntil(RETURN_AT_MS + COLD_MS + 12_000)
                val warmAtMs = RETURN_AT_MS + COLD_MS
                val most = fleet.mostRequestsInASecond(fleet.serversOf(1), warmAtMs, warmAtMs + 1_000)
                val late = fleet.requestsPerServerS(fleet.serversOf(1), warmAtMs + 9_000, warmAtMs + 12_000)

                assertTrue(most <= 2 * BOUND_REQUESTS, "$most requests in the first second with $routers routers")
                assertTrue(late >= 0.7 * BUSY_LOAD, "$late requests a second with $routers routers")
            }
        }
    }

    @Nested
    inner class `a fault while servers are cold` {
        @Test
        fun `that restarts a router and adds one keeps the bound`() {
            for (routers in fleetSizes) {
                val fleet = fleetBeforeReturn(routers, load = BUSY_LOAD)
                fleet.runUntil(RETURN_AT_MS + COLD_MS / 2)
                fleet.router(0).restart()
                fleet.addRouter()
                fleet.runUntilWarm()

                fleet.assertBoundKept()
            }
        }

        @Test
        fun `that brings the servers down again and back keeps the bound`() {
            for (routers in fleetSizes) {
                val fleet = fleetBeforeReturn(routers, load = BUSY_LOAD)
                fleet.runUntil(RETURN_AT_MS + COLD_MS / 2)
                fleet.loseZones(1)
                fleet.runUntil(RETURN_AT_MS + COLD_MS / 2 + 300)
                fleet.returnZones(1, COLD_MS)
                fleet.runUntilWarm()

                fleet.assertBoundKept()
            }
        }

        @Test
        fun `in which routers never learn of the others sends nothing to the servers and serves by the other zones`() {
            for (routers in fleetSizes) {
                val fleet = ColdServerFleet(routers, policy)
                repeat(routers) { fleet.router(it).readsRouters = false }
                fleet.loseZones(1)
                fleet.runUntil(RETURN_AT_MS)
                fleet.returnZones(1, COLD_MS)
                fleet.runUntilWarm()

                // The run that is lost at the start was never cold, so only the return counts.
                assertEquals(0, fleet.mostRequestsInASecond(fleet.serversOf(1), RETURN_AT_MS, RETURN_AT_MS + COLD_MS))
                assertEquals(0, fleet.refusedRequests)
            }
        }

        @Test
        fun `that takes the store away keeps the bound`() {
            for (routers in fleetSizes) {
                val fleet = fleetBeforeReturn(routers, load = BUSY_LOAD)
                fleet.runUntil(RETURN_AT_MS + COLD_MS / 2)
                fleet.isStoreGone = true
                fleet.runUntilWarm()

                fleet.assertBoundKept()
            }
        }

        @Test
        fun `that takes the store away does not keep the servers limited, guarding against a countdown that waits for the store`() {
            val fleet = fleetBeforeReturn(routers = 30, load = BUSY_LOAD)
            fleet.runUntil(RETURN_AT_MS + COLD_MS / 2)
            fleet.isStoreGone = true
            fleet.runUntil(RETURN_AT_MS + COLD_MS + 12_000)
            val late = fleet.requestsPerServerS(fleet.serversOf(1), RETURN_AT_MS + COLD_MS + 9_000, RETURN_AT_MS + COLD_MS + 12_000)

            assertTrue(late >= 0.7 * BUSY_LOAD, "$late requests a second")
        }
    }

    @Nested
    inner class `all zones that come back cold at once` {
        @Test
        fun `get no more than the bound while callers ask for more than they take`() {
            for (routers in fleetSizes) {
                val fleet = fleetBeforeReturn(routers, zones = 3, load = 3 * BUSY_LOAD)
                fleet.runUntilWarm()

                fleet.assertBoundKept(zones = 3)
            }
        }
    }

    @Nested
    inner class `a router` {
        private val cold = server(0)
        private val warm = server(1)
        private val coldServer = ColdServer(cold.backendServerId, cold.vmId, requestsPerS = 9.0, endsAtMs = 3_000)

        private fun DefaultRequestScheduler.serversOf(
            requests: Int,
            nowMs: Long,
        ): List<String> {
            repeat(requests) { submit(item("$nowMs-$it", arrivedAtMs = nowMs, deadlineAtMs = nowMs + 2_000), nowMs) }
            return startsAt(nowMs).map { it.backendServerId.value }
        }

        @Test
        fun `that does not know the others sends nothing to a cold server while another can take the request`() {
            val scheduler = DefaultRequestScheduler(zoneId = cold.zoneId, seed = 1).apply { onWorkClasses(listOf(urgentClass)) }
            scheduler.onColdServers(listOf(coldServer), 0)
            scheduler.onBackendServers(listOf(cold, warm), 0)

            val servers = (0 until 20L).flatMap { scheduler.serversOf(requests = 1, nowMs = it * 50) }

            assertEquals(setOf("s1"), servers.toSet())
        }

        @Test
        fun `keeps to the lower one of the cold limit and the limit that the server names`() {
            for ((coldPerS, namedPerS) in listOf(9.0 to 1.0, 1.0 to 9.0)) {
                val scheduler = DefaultRequestScheduler(zoneId = cold.zoneId, seed = 1).apply { onWorkClasses(listOf(urgentClass)) }
                scheduler.onRouterFleet(RouterFleet(RouterId("r0"), listOf(RouterId("r0")), tableTimeOffsetMs = 0), 0)
                scheduler.onColdServers(listOf(coldServer.copy(requestsPerS = coldPerS, endsAtMs = 20_000)), 0)
                scheduler.onBackendServers(listOf(cold), 0)
                scheduler.onRequestLimit(RequestLimitStatement(cold.backendServerId, cold.vmId, namedPerS, asOfMs = 0), 0)

                var requests = 0
                var running = emptyList<SchedulerAction.Start>()
                for (nowMs in 0 until 10_000L step 50) {
                    running.forEach { scheduler.onServiceEvent(it.requestId, ServiceEvent.Completed(outputTokens = 16), nowMs) }
                    scheduler.submit(item("$nowMs", arrivedAtMs = nowMs, deadlineAtMs = nowMs + 2_000), nowMs)
                    running = scheduler.startsAt(nowMs)
                    requests += running.size
                }

                assertTrue(requests in 5..11, "$requests requests in 10 s")
            }
        }

        @Test
        fun `does not limit the next run of a server that was cold`() {
            val scheduler = DefaultRequestScheduler(zoneId = cold.zoneId, seed = 1).apply { onWorkClasses(listOf(urgentClass)) }
            scheduler.onColdServers(listOf(coldServer), 0)
            scheduler.onBackendServers(listOf(cold.copy(vmId = warm.vmId)), 0)

            assertEquals(listOf("s0"), scheduler.serversOf(requests = 1, nowMs = 100))
        }
    }

    private companion object {
        private const val RETURN_AT_MS = 8_000L
        private const val COLD_MS = 3_000L
        private const val BOUND_REQUESTS = 18.5

        /** Requests a second and server below the bound, so that only the return of idle servers exceeds it. */
        private const val MODERATE_LOAD = 9.0

        /** Requests a second and server at which the other zones leave much to a zone that returns. */
        private const val BUSY_LOAD = 20.0
    }
}
