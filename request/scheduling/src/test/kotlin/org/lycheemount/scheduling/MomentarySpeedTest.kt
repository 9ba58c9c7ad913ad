package org.lycheemount.scheduling

import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class MomentarySpeedTest {
    @Nested
    inner class `a reported work time` {
        private val speed = MomentarySpeed()
        private val slow = assertNotNull(WorkTimeFactor.ofHundredths(250.0))

        @Test
        fun `counts in full at once and hardly after a second, guarding against a server that is avoided for a spell that has ended`() {
            assertEquals(1.0, speed.workTimeFactor(0))
            speed.onReport(slow, 1_000)

            assertEquals(2.5, speed.workTimeFactor(1_000))
            assertTrue(speed.workTimeFactor(1_300) in 1.4..1.7, "${speed.workTimeFactor(1_300)} after 300 ms")
            assertTrue(speed.workTimeFactor(2_000) < 1.1, "${speed.workTimeFactor(2_000)} after a second")
        }

        @Test
        fun `of the usual time ends a slow one`() {
            speed.onReport(slow, 1_000)
            speed.onReport(assertNotNull(WorkTimeFactor.ofHundredths(100.0)), 1_010)

            assertEquals(1.0, speed.workTimeFactor(1_010))
        }
    }

    @Nested
    inner class `servers that are slow for 600 ms at a time` {
        @Test
        fun `serve more in time if they report it, guarding against a figure that is read and not used`() {
            for ((serverCount, routerCount) in listOf(3 to 1, 8 to 1, 8 to 7)) {
                for (load in listOf(0.2, 0.6)) {
                    val without = servedInTime(serverCount, routerCount, load, reportsWorkTime = false)
                    val with = servedInTime(serverCount, routerCount, load, reportsWorkTime = true)

                    assertTrue(with > without, "$with with, $without without: $serverCount servers, $routerCount routers, load $load")
                }
            }
        }

        private fun servedInTime(
            serverCount: Int,
            routerCount: Int,
            load: Double,
            reportsWorkTime: Boolean,
        ): Double {
            val fleets =
                (1..2).map { seed ->
                    val spells = (0 until serverCount).map { slowSpells(Random(seed * 100 + it), PLAY_MS) }
                    val fleet = SpeedFleet(List(serverCount) { 1.0 }, spells, reportsWorkTime, routerCount)
                    fleet.run(PLAY_MS, load * serverCount * REQUESTS_PER_S, Random(seed))
                    fleet
                }
            return fleets.sumOf { it.servedInTime } / fleets.sumOf { it.submitted }.toDouble()
        }
    }

    private companion object {
        private const val PLAY_MS = 40_000L

        /** Requests a second that a server of usual speed can serve: 8 slots, 100 ms each. */
        private const val REQUESTS_PER_S = 80.0
    }
}
