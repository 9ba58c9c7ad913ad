package org.lycheemount.app.ctl

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class RequestHistoryTest {
    private fun line(
        time: String,
        router: String,
        rest: String,
    ) = assertNotNull(parseLogLine("$router time=2026-08-04T14:50:$time level=INFO logger=gateway $rest", "file"))

    private fun eventsFor(
        requestId: String,
        lines: List<LogLine>,
    ) = RequestHistory(requestId).also { history -> lines.forEach(history::add) }.lines().map { "${it.source} ${it.event}" }

    @Nested
    inner class `a log line` {
        @Test
        fun `is parsed with quoted values and the name of the router before it`() {
            val line =
                line("48.402Z", "12.1 fraser-1", """event=request_refused request_id=a1 detail="12 \"tokens\" = none" outcome=not-run""")

            assertEquals("fraser-1", line.source)
            assertEquals(mapOf("request_id" to "a1", "detail" to "12 \"tokens\" = none", "outcome" to "not-run"), line.fields)
        }

        @Test
        fun `without the name of a router is attributed to its file`() {
            assertEquals("r1.log", parseLogLine("time=2026-08-04T14:50:48Z event=router_started", "r1.log")?.source)
        }

        @Test
        fun `that is not an event is skipped`() {
            assertNull(parseLogLine("    at java.base/java.lang.Thread.run", "r1.log"))
        }
    }

    @Nested
    inner class `the history of a request` {
        private val log =
            listOf(
                line("10.000Z", "a", "event=configuration_in_force version=3"),
                line("10.100Z", "a", "event=grant_refilled budget=b1 tokens=100"),
                line("10.200Z", "a", "event=grant_refilled budget=b2 tokens=100"),
                line("10.300Z", "a", "event=servers_changed added=i-1,i-2 removed= leaving="),
                line("10.400Z", "b", "event=store_unreachable rows=operator"),
                line("10.500Z", "a", "event=attempt_failed request_id=r1 server=i-2 failure=broken_connection"),
                line("10.600Z", "a", """event=request_refused request_id=r1 detail="budget b1: 7 tokens needed""""),
                line("10.700Z", "a", "event=configuration_in_force version=4"),
                line("10.800Z", "a", "event=request_ended request_id=r2 outcome=answered_200"),
                line("10.900Z", "b", "event=request_ended request_id=r1 outcome=answered_200"),
            )

        @Test
        fun `contains its lines from all routers and the state of each router when it arrived`() {
            assertEquals(
                listOf(
                    "a configuration_in_force",
                    "a grant_refilled",
                    "a servers_changed",
                    "b store_unreachable",
                    "a attempt_failed",
                    "a request_refused",
                    "b request_ended",
                ),
                eventsFor("r1", log),
            )
        }

        @Test
        fun `is empty for an id that no log line contains`() {
            assertEquals(emptyList(), eventsFor("r9", log))
        }
    }
}
