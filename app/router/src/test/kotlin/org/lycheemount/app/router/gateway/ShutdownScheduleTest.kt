package org.lycheemount.app.router.gateway

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertTrue

class ShutdownScheduleTest {
    @Nested
    inner class `for any grace period` {
        private val schedules = (1L..60_000L).associateWith(::createShutdownSchedule)

        @Test
        fun `the steps follow one another, guarding against connections that are accepted after requests have ended`() =
            assertAll { _, schedule ->
                schedule.run {
                    val steps = listOf(noticeEndsMs, listenerClosesMs, responsesEndMs, connectionsCloseMs, exitMs)
                    steps == steps.sorted()
                }
            }

        @Test
        fun `the process exits before it is killed`() = assertAll { graceMs, schedule -> schedule.exitMs <= graceMs }

        @Test
        fun `connections linger for a part of it only, guarding against a fixed wait that outlasts a short grace period`() =
            assertAll { graceMs, schedule -> schedule.connectionLingerMs <= graceMs / 10 + 1 }

        private fun assertAll(check: (Long, ShutdownSchedule) -> Boolean) {
            for ((graceMs, schedule) in schedules) assertTrue(check(graceMs, schedule), "grace period of $graceMs ms: $schedule")
        }
    }

    @Nested
    inner class `for the usual grace period` {
        private val schedule = createShutdownSchedule(graceMs = 8_000)

        @Test
        fun `the load balancer has seen two failed checks before anything is refused, guarding against refusals of new callers`() {
            assertTrue(schedule.noticeEndsMs >= 2 * CHECK_INTERVAL_MS)
        }

        @Test
        fun `there is time to write and to read the last responses before the exit`() {
            assertTrue(schedule.exitMs - schedule.responsesEndMs >= ROUND_TRIP_MS)
        }
    }

    private companion object {
        private const val CHECK_INTERVAL_MS = 1_000L
        private const val ROUND_TRIP_MS = 200L
    }
}
