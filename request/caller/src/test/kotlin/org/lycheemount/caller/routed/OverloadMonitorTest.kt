package org.lycheemount.caller.routed

import org.junit.jupiter.api.Nested
import org.lycheemount.testing.FakeEventLog
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class OverloadMonitorTest {
    private val log = FakeEventLog()
    private val monitor = OverloadMonitor(log)

    @Nested
    inner class `a router that gets several times its share of callers` {
        @Test
        fun `is overloaded while its requests wait for the processor, and for a few seconds longer`() {
            for (nowMs in 0L..3_000L step 20) monitor.onRequest(queueDelayMs = 60, nowMs)

            assertTrue(monitor.isOverloaded(nowMs = 3_000))
            assertTrue(monitor.isOverloaded(nowMs = 6_900))
            assertFalse(monitor.isOverloaded(nowMs = 7_001))
            assertEquals(listOf("router_overloaded", "router_not_overloaded"), log.events.map { it.first })
        }
    }

    @Nested
    inner class `a router that is not overloaded` {
        @Test
        fun `stays ready when a few requests wait, guarding against a zone that loses routers to a collection of garbage`() {
            for (nowMs in 0L..3_000L step 20) monitor.onRequest(queueDelayMs = if (nowMs % 400 == 0L) 300 else 1, nowMs)

            assertFalse(monitor.isOverloaded(nowMs = 3_000))
        }

        @Test
        fun `stays ready on a handful of slow requests, guarding against removal of a cold router with little traffic`() {
            for (nowMs in 0L..3_000L step 500) monitor.onRequest(queueDelayMs = 200, nowMs)

            assertFalse(monitor.isOverloaded(nowMs = 3_000))
        }
    }
}
