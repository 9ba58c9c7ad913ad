package org.lycheemount.app.router.gateway

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class LeavingServerTest {
    /** Runs [steps] on fleets of several sizes, whose callers send each router 25 requests a second. */
    private fun runFleets(
        routerCounts: List<Int> = listOf(1, 7, 95),
        serverCount: Int = 3,
        steps: suspend (LeavingServerFleet) -> Unit,
    ) = routerCounts.forEach { routerCount ->
        runTest {
            val fleet = LeavingServerFleet(this, routerCount, serverCount)
            fleet.routers.forEach { it.startCallers(CALL_INTERVAL_MS) }
            delay(1_000)

            steps(fleet)
        }
    }

    private fun LeavingServerFleet.assertNoneIsLate() {
        assertTrue(arrivals.any { it.passedOnAtMs == null && it.server == servers[0].description }, "the server had no requests before")
        assertEquals(0, lateArrivals.size, "of ${arrivals.size} requests, with ${routers.size} routers")
    }

    @Nested
    inner class `a server that says in its responses that it leaves` {
        @Test
        fun `gets no request that was sent long after, while its entry says nothing of it`() =
            runFleets { fleet ->
                fleet.servers[0].isLeaving = true
                delay(6_000)

                fleet.assertNoneIsLate()
            }

        @Test
        fun `gets no request that was sent long after, although its entry lapses and is written again`() =
            runFleets { fleet ->
                fleet.servers[0].isLeaving = true
                repeat(10) {
                    delay(300)
                    fleet.routers.forEach { it.list(fleet.servers.drop(1).map { server -> server.description }) }
                    delay(300)
                    fleet.routers.forEach { it.list() }
                }

                fleet.assertNoneIsLate()
            }

        @Test
        fun `gets no request that was sent long after from a router that is cut off from the others`() =
            runFleets(routerCounts = listOf(7, 95)) { fleet ->
                fleet.routers.first().cutOff()
                fleet.servers[0].isLeaving = true
                delay(6_000)

                fleet.assertNoneIsLate()
            }

        @Test
        fun `gets no request from routers that have heard it from another one only`() =
            runTest {
                val fleet = LeavingServerFleet(this, routerCount = 91)
                fleet.servers[0].isLeaving = true
                while (fleet.arrivals.none { it.server == fleet.servers[0].description }) fleet.routers.first().send()
                delay(100)
                fleet.routers.forEach { it.startCallers(CALL_INTERVAL_MS) }
                delay(3_000)

                assertEquals(1, fleet.arrivals.count { it.server == fleet.servers[0].description })
                assertTrue(fleet.outcomes.all { it.isServed })
            }

        @Test
        fun `gets no request from a router that restarts just after it has passed on the response, once peers are in touch with it`() =
            runFleets(routerCounts = listOf(7, 95)) { fleet ->
                fleet.servers[0].isLeaving = true
                while (fleet.arrivals.none {
                        it.passedOnAtMs != null || it.router == 0 && it.server == fleet.servers[0].description
                    }
                ) {
                    delay(
                        1,
                    )
                }
                fleet.routers.first().restart()
                delay(1_000)
                val before = fleet.arrivals.count { it.server == fleet.servers[0].description }
                delay(5_000)

                assertEquals(before, fleet.arrivals.count { it.server == fleet.servers[0].description })
            }

        @Test
        fun `is left by requests that are served elsewhere, all of them`() =
            runFleets { fleet ->
                fleet.servers[0].isLeaving = true
                delay(6_000)

                assertTrue(fleet.outcomes.all { it.isServed })
            }

        @Test
        fun `gets requests again after a new start under the same id`() =
            runFleets { fleet ->
                fleet.servers[0].isLeaving = true
                delay(3_000)
                fleet.servers[0].isLeaving = false
                fleet.servers[0].run++
                fleet.routers.forEach { it.list() }
                delay(2_000)

                assertTrue(fleet.arrivals.any { it.server == fleet.servers[0].description })
            }
    }

    @Nested
    inner class `while all servers say that they leave` {
        @Test
        fun `callers are served for a second more, then refused at once with a time after which to retry, and no request is late`() =
            runFleets { fleet ->
                val leavingFromMs = fleet.outcomes.last().endedAtMs
                fleet.servers.forEach { it.isLeaving = true }
                delay(6_000)

                fleet.assertNoneIsLate()
                assertTrue(fleet.outcomes.filter { it.sentAtMs < leavingFromMs + 900 }.all { it.isServed })
                val later = fleet.outcomes.filter { it.sentAtMs > leavingFromMs + 2_000 }
                assertTrue(later.isNotEmpty() && later.all { it.retryAfterMs != null && it.endedAtMs == it.sentAtMs })
            }

        @Test
        fun `a new server gets all requests from the time on at which it is listed`() =
            runFleets { fleet ->
                fleet.servers.drop(1).forEach { it.isLeaving = true }
                fleet.routers.forEach { it.list(fleet.servers.drop(1).map { server -> server.description }) }
                delay(3_000)
                val listedAtMs = fleet.outcomes.last().endedAtMs
                fleet.routers.forEach { it.list() }
                delay(1_000)

                val later = fleet.outcomes.filter { it.sentAtMs > listedAtMs + CALL_INTERVAL_MS }
                assertTrue(later.isNotEmpty() && later.all { it.isServed })
                assertEquals(0, fleet.lateArrivals.size)
            }
    }

    private companion object {
        private const val CALL_INTERVAL_MS = 40L
    }
}
