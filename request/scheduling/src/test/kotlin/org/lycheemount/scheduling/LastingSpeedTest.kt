package org.lycheemount.scheduling

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Tag
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class LastingSpeedTest {
    @Nested
    inner class `servers that differ in speed for good` {
        @Test
        fun `serve nearly all in time, none idle while another queues`() {
            for (load in listOf(0.2, 0.4, 0.6, 0.8)) {
                val fleet = playAt(load, routerCount = 1)

                assertEquals(0, fleet.idleWhileOthersQueueTicks, "ticks at load $load")
                assertTrue(share(fleet) > 0.98, "${share(fleet)} in time at load $load")
                assertTrue(fleet.startedOn.all { it > 0 }, "started ${fleet.startedOn.toList()} at load $load")
            }
        }

        @Test
        @Tag("known-red")
        fun `are not idle while another queues when seven routers share them`() {
            for (load in listOf(0.4, 0.6)) {
                val fleet = playAt(load, routerCount = 7)

                val idleTicks = fleet.idleWhileOthersQueueTicks
                assertTrue(idleTicks < 80, "$idleTicks of 8000 ticks with an idle server while another queues at load $load")
            }
        }

        @Test
        fun `are not overloaded when the fastest leaves`() {
            val fleet = playAt(load = 0.4, routerCount = 1)
            fleet.resetFigures()
            fleet.leave(FASTEST)
            fleet.run(70_000, 0.4 * REQUESTS_PER_S)

            assertTrue(fleet.greatestLoad <= 1.25, "${fleet.greatestLoad} requests a slot")
            assertTrue(share(fleet) > 0.95, "${share(fleet)} in time")
            assertEquals(0, fleet.startedOn[FASTEST])
        }
    }

    /** Serves 40 s at [load] after 20 s in which the routers measure the servers. */
    private fun playAt(
        load: Double,
        routerCount: Int,
    ): SpeedFleet {
        val fleet = SpeedFleet(listOf(0.7, 0.7, 1.7), routerCount = routerCount)
        fleet.run(20_000, load * REQUESTS_PER_S)
        fleet.resetFigures()
        fleet.run(60_000, load * REQUESTS_PER_S)
        return fleet
    }

    private fun share(fleet: SpeedFleet) = fleet.servedInTime / fleet.submitted.toDouble()

    private companion object {
        private const val FASTEST = 2

        /** Requests a second that the three servers can serve: 8 slots each, 100 ms at the usual speed. */
        private const val REQUESTS_PER_S = 3.1 * 80
    }
}
