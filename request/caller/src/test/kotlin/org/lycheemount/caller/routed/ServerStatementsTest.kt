package org.lycheemount.caller.routed

import org.junit.jupiter.api.Nested
import org.lycheemount.caller.WorkDispatcher
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.RouterId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.scheduling.RequestLimitStatement
import org.lycheemount.scheduling.WorkTimeFactor
import org.lycheemount.scheduling.createRequestScheduler
import org.lycheemount.testing.FakeClock
import org.lycheemount.testing.FakeEventLog
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class ServerStatementsTest {
    private val clock = FakeClock(nowMs = 1_000)
    private val eventLog = FakeEventLog()
    private val dispatcher = WorkDispatcher(createRequestScheduler(ZoneId("z"), seed = 1), clock)
    private val statements = ServerStatements(dispatcher, clock, eventLog)

    private fun respond(
        limitText: String?,
        sentAtMs: Long = clock.nowMs,
        run: String = "vm1",
    ) = statements.onResponse(
        server(run),
        limitText,
        sentAtMs,
    )

    private fun server(run: String) = BackendServer(BackendServerId("s1"), VmId(run), ZoneId("z"), "127.0.0.1", 1, emptySet())

    /** Of each statement on whether the server leaves: the statement, its age and its source. */
    private val leavingStatements get() =
        eventLog.events.filter { it.first == "server_leaving" }.map { (_, fields) ->
            listOf("leaving", "age_ms", "source").map(fields::get)
        }

    private val limits get() = eventLog.events.filter { it.first == "server_limit" }.map { it.second["requests_per_s"] }

    @Nested
    inner class `a request limit` {
        @Test
        fun `is logged when it is named, changed and ended`() {
            respond("2.5")
            respond("2.5")
            respond("4")
            clock.advance(10)
            respond(null)

            assertEquals(listOf<Any?>(2.5, 4.0, null), limits)
        }

        @Test
        fun `ends after hours without requests, guarding against a limit that the scheduler keeps for good`() {
            val other = BackendServer(BackendServerId("s2"), VmId("vm2"), ZoneId("z"), "127.0.0.1", 1, emptySet())
            dispatcher.onBackendServers(listOf(server("vm1"), other))
            respond("2")
            clock.advance(3_600_001)
            statements.onResponse(other, "3", sentAtMs = clock.nowMs)
            clock.advance(10)

            respond(null)

            assertEquals(listOf<Any?>(2.0, 3.0, null), limits)
        }

        @Test
        fun `is not ended by the response to a request that was sent before it was named`() {
            respond("2")
            clock.advance(50)
            respond(null, sentAtMs = 990)

            assertEquals(listOf<Any?>(2.0), limits)
        }

        @Test
        fun `that has ended is not taken up again, guarding against older messages of peers that arrive late`() {
            respond("2")
            clock.advance(60)
            respond(null)

            val late = RequestLimitStatement(BackendServerId("s1"), VmId("vm1"), requestsPerS = 2.0, asOfMs = 1_030)
            statements.onPeerStatement(RouterId("r2"), late)

            assertEquals(listOf<Any?>(2.0, null), limits)
        }

        @Test
        fun `of a later run of the server is taken from a peer`() {
            respond("2")
            clock.advance(60)
            respond(null)

            val ofLaterRun = RequestLimitStatement(BackendServerId("s1"), VmId("vm2"), requestsPerS = 3.0, asOfMs = 1_070)
            statements.onPeerStatement(RouterId("r2"), ofLaterRun)

            assertEquals(listOf<Any?>(2.0, null, 3.0), limits)
        }

        @Test
        fun `of an earlier run of the server says nothing of a later one`() {
            respond("2")
            clock.advance(10)
            respond("2", run = "vm2")

            assertEquals(listOf<Any?>(2.0, 2.0), limits)
        }

        @Test
        fun `that is zero, negative or huge is bounded, and one that is no number is ignored`() {
            listOf("0", "-3", "1e99", "Infinity").forEach(::respond)
            listOf("", "fast", "NaN", "2;3").forEach(::respond)

            assertEquals(listOf<Any?>(0.1, 10_000.0), limits)
            assertEquals(1, eventLog.events.count { it.first == "server_limit_out_of_range" })
        }
    }

    @Nested
    inner class `a time that work takes` {
        @Test
        fun `is logged once while the server is listed, guarding against a line for each change`() {
            for (hundredths in 100..600) statements.onWorkTime(server("vm1"), WorkTimeFactor.ofHundredths(hundredths.toDouble())!!)

            assertEquals(listOf<Any?>(1.0), eventLog.events.filter { it.first == "server_work_time" }.map { it.second["ratio"] })
        }
    }

    @Nested
    inner class `an unusable time that work takes` {
        @Test
        fun `is logged once for a server, guarding against a line for each response`() {
            repeat(1_000) { statements.onUnusableWorkTime(server("vm1"), "fast") }

            val lines = eventLog.events.filter { it.first == "server_work_time_out_of_range" }.map { it.second }
            assertEquals(listOf("s1" to "fast"), lines.map { it["server"] to it["text"] })
        }
    }

    @Nested
    inner class `a pause` {
        private val pauses get() = eventLog.events.filter { it.first == "server_pause" }.map { it.second["pause_ms"] }

        @Test
        fun `may be a fraction of a second, and is logged once`() {
            statements.onPauseResponse(server("vm1"), "0.5")
            statements.onPauseResponse(server("vm1"), "0.1")

            assertEquals(listOf<Any?>(500L), pauses)
        }

        @Test
        fun `that is huge is bounded, and one that is no time is ignored`() {
            listOf("", "soon", "-1", "0", "NaN", "Mon, 07 Dec 2026 00:00:00 GMT").forEach { statements.onPauseResponse(server("vm1"), it) }
            statements.onPauseResponse(server("vm1"), "1e99")

            assertEquals(listOf<Any?>(3_600_000L), pauses)
            assertEquals(1, eventLog.events.count { it.first == "server_pause_out_of_range" })
        }

        @Test
        fun `ends by itself, no more than a tenth later`() {
            statements.onPauseResponse(server("vm1"), "10")
            clock.advance(9_999)
            val before = statements.hasAskedForPause(server("vm1"))
            clock.advance(1_001)

            assertEquals(listOf(true, false), listOf(before, statements.hasAskedForPause(server("vm1"))))
        }

        @Test
        fun `of an earlier run of the server says nothing of a later one`() {
            statements.onPauseResponse(server("vm1"), "60")
            statements.onPauseResponse(server("vm2"), "5")

            assertEquals(listOf<Any?>(60_000L, 5_000L), pauses)
        }
    }

    @Nested
    inner class `a server that says that it leaves` {
        @Test
        fun `is logged once with source and age`() {
            statements.onLeavingResponse(server("vm1"))
            clock.advance(10)
            statements.onLeavingResponse(server("vm1"))

            assertEquals(listOf(listOf<Any?>(true, 0L, "response")), leavingStatements)
            assertTrue(statements.hasSaidToLeave(server("vm1")))
        }

        @Test
        fun `still leaves after the response to a request that was sent before, guarding against responses that overtake each other`() {
            statements.onLeavingResponse(server("vm1"))
            clock.advance(10)
            statements.onLeavingResponse(server("vm1"))
            statements.onOtherResponse(server("vm1"), sentAtMs = 1_010)

            assertTrue(statements.hasSaidToLeave(server("vm1")))
        }

        @Test
        fun `stays after the response without it to a later request`() {
            statements.onLeavingResponse(server("vm1"))
            clock.advance(20)
            statements.onOtherResponse(server("vm1"), sentAtMs = 1_001)

            assertFalse(statements.hasSaidToLeave(server("vm1")))
            assertEquals(listOf(listOf<Any?>(true, 0L, "response"), listOf<Any?>(false, 19L, "response")), leavingStatements)
        }

        @Test
        fun `has said nothing of a later run of it`() {
            statements.onLeavingResponse(server("vm1"))

            assertFalse(statements.hasSaidToLeave(server("vm2")))
        }

        @Test
        fun `still leaves when it is listed again, guarding against entries that lapse and outdated copies of them`() {
            statements.onLeavingResponse(server("vm1"))
            statements.onBackendServers(emptyList())
            clock.advance(60_000)
            statements.onBackendServers(listOf(server("vm1")))

            assertTrue(statements.hasSaidToLeave(server("vm1")))
        }

        @Test
        fun `is forgotten an hour after it has gone`() {
            statements.onLeavingResponse(server("vm1"))
            clock.advance(3_600_001)
            statements.onBackendServers(listOf(server("vm2")))

            assertFalse(statements.hasSaidToLeave(server("vm1")))
        }
    }
}
