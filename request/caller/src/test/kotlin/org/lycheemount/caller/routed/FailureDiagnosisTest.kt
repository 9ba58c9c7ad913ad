package org.lycheemount.caller.routed

import org.junit.jupiter.api.Nested
import org.lycheemount.testing.FakeClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

/** Verifies that the log alone shows why a request failed, by the steps of docs/OPERATIONS.md. */
internal class FailureDiagnosisTest : RoutedFixture(FakeClock()) {
    private val clock = handlerClock as FakeClock

    /** Returns the fields of the events called [name] with the caller's request id. */
    private fun linesOf(name: String): List<Map<String, Any?>> {
        assertNotNull(awaitLoggedOutcome())
        return log.events.filter { (event, fields) -> event == name && fields["request_id"] == "r" }.map { it.second }
    }

    @Nested
    inner class `the log of a refused request` {
        @Test
        fun `contains the reason, the wait for tokens and that the request did not run`() {
            exchange("/chat/1", "X-Tokens: 600000,600000")

            val ended = linesOf("request_ended").single()
            val refused = linesOf("request_refused").single()
            assertEquals("not-run", refused["outcome"])
            assertEquals("not_run:${refused["reason"]}", ended["outcome"])
            assertEquals(0, ended["attempts"])
            assertNotNull(ended["token_wait_ms"])
            assertEquals("t1", ended["team"])
        }
    }

    @Nested
    inner class `the log of an order with an unknown outcome` {
        @Test
        fun `contains the server that accepted it and the failure of its connection`() {
            first.enqueue { }

            exchange("/order/1")

            val failed = linesOf("attempt_failed").single()
            assertEquals("i-1", failed["server"])
            assertEquals("broken_connection", failed["failure"])
            assertEquals(true, failed["may_have_run"])
            assertEquals("unknown", linesOf("request_refused").single()["outcome"])
            assertEquals("i-1", linesOf("request_ended").single()["server"])
        }
    }

    @Nested
    inner class `the log of a truncated or late stream` {
        @Test
        fun `contains the server that failed and the id of the last event`() {
            first.enqueue {
                startStream()
                event(1)
            }

            exchange("/chat/1")

            assertEquals("broken_off:the stream was truncated after event 1", linesOf("request_ended").single()["outcome"])
            assertEquals("i-1", linesOf("attempt_failed").single()["server"])
        }

        @Test
        fun `shows that the time was spent on a server that failed before another one responded`() {
            first.enqueue {
                clock.advance(SLOW_FAILURE_MS)
            }
            second.enqueue {
                startStream()
                event(1)
                endStream()
            }

            exchange("/draft/1")

            val ended = linesOf("request_ended").single()
            assertEquals("answered_200", ended["outcome"])
            assertEquals(2, ended["attempts"])
            assertEquals(0L, ended["token_wait_ms"])
            assertEquals(0L, ended["queue_ms"])
            assertEquals("i-1", linesOf("attempt_failed").single()["server"])
            assertEquals(SLOW_FAILURE_MS, ended["first_ms"])
        }
    }

    private companion object {
        private const val SLOW_FAILURE_MS = 200L
    }
}
