package org.lycheemount.scheduling

import org.junit.jupiter.api.Nested
import org.lycheemount.common.BackendServer
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.VmId
import org.lycheemount.config.WorkClass
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class LeavingServerTest {
    private val servers = listOf(server(0), server(1))
    private val scheduler = scheduler(servers)
    private val leaving = servers[1]
    private val staying = servers[0]

    private fun sayLeaving(
        server: BackendServer,
        atMs: Long,
    ) = scheduler.onLeaving(LeavingStatement(server.backendServerId, server.vmId, isLeaving = true, asOfMs = atMs), atMs)

    /** Submits requests until some are queued; returns those that have started. */
    private fun fillServers(workClass: WorkClass = urgentClass): List<SchedulerAction.Start> {
        repeat(400) { scheduler.submit(item("r$it", workClass = workClass), 0) }
        return scheduler.startsAt(0)
    }

    /** Ends [starts] and returns the requests that start in their place. */
    private fun end(
        starts: List<SchedulerAction.Start>,
        nowMs: Long,
    ): List<SchedulerAction.Start> =
        starts.flatMap {
            scheduler.onServiceEvent(it.requestId, ServiceEvent.Completed(outputTokens = 16), nowMs)
            scheduler.startsAt(nowMs)
        }

    private fun submit(
        id: String,
        nowMs: Long,
        excluded: Set<BackendServer> = emptySet(),
    ) = scheduler.submit(item(id, arrivedAtMs = nowMs, excluded = excluded.map { it.backendServerId }.toSet()), nowMs)

    private fun serversOf(starts: List<SchedulerAction.Start>) = starts.map { it.backendServerId }.toSet()

    @Nested
    inner class `a server that says that it leaves` {
        @Test
        fun `gets none of the requests that were already queued`() {
            val starts = fillServers()

            sayLeaving(leaving, 50)
            val laterStarts = scheduler.startsAt(50) + end(starts, 100)

            assertEquals(setOf(staying.backendServerId), serversOf(laterStarts))
        }

        @Test
        fun `gets no request although its entry is read again as before`() {
            sayLeaving(leaving, 0)

            scheduler.onBackendServers(servers, 10)
            repeat(100) { submit("r$it", 10) }

            assertEquals(setOf(staying.backendServerId), serversOf(scheduler.startsAt(10)))
        }

        @Test
        fun `is no longer waited for by a request of which it has the cached prefix`() {
            val request = item("r0", prefixHashes = listOf(1))
            val estimator = ServiceEstimator(model, InitialSpeeds())
            val deadlines = StartDeadlines(request, urgentClass, estimator.estimate(request, 0), estimator.firstTokenSlowdown)
            val queued = QueuedRequest(request, urgentClass, 1, 0, serviceMs = 10.0, deadlines, predictedWaitMs = 0.0)
            val states = servers.map(::ServerState)
            queued.affinityServers(states, nowMs = 0) { setOf(leaving.backendServerId) }

            val afterwards = queued.affinityServers(states.filter { it.server == staying }, nowMs = 1) { setOf(staying.backendServerId) }

            assertEquals(setOf(staying.backendServerId), afterwards)
        }

        @Test
        fun `is no measure for the speed of the one that stays, guarding against a service that refuses all requests`() {
            sayLeaving(leaving, 0)
            val refused = ArrayList<SubmitOutcome>()

            // Each request takes several times as long as expected.
            for (index in 0 until 40) {
                val atMs = 2_000L + index * 1_000
                submit("r$index", atMs).let { if (it is SubmitOutcome.Refused) refused += it }
                end(scheduler.startsAt(atMs), atMs + 900)
            }

            assertEquals(emptyList<SubmitOutcome>(), refused)
        }

        @Test
        fun `gets requests again once it has taken it back`() {
            sayLeaving(leaving, 0)
            scheduler.onLeaving(LeavingStatement(leaving.backendServerId, leaving.vmId, isLeaving = false, asOfMs = 10), 10)

            repeat(100) { submit("r$it", 20) }

            assertTrue(leaving.backendServerId in serversOf(scheduler.startsAt(20)))
        }

        @Test
        fun `says nothing of a later run, and a statement of an earlier run is ignored`() {
            sayLeaving(leaving, 0)
            scheduler.onBackendServers(listOf(staying, leaving.copy(vmId = VmId("vm1-later"))), 10)
            sayLeaving(leaving, 20)

            repeat(100) { submit("r$it", 30) }

            assertTrue(leaving.backendServerId in serversOf(scheduler.startsAt(30)))
        }

        @Test
        fun `gets a retry within a second if no other server can take it, and not later`() {
            sayLeaving(leaving, 0)

            val early = submit("early", 900, excluded = setOf(staying))
            val starts = scheduler.startsAt(900)
            val late = submit("late", 1_000, excluded = setOf(staying))

            assertEquals(SubmitOutcome.Queued, early)
            assertEquals(setOf(leaving.backendServerId), serversOf(starts))
            assertTrue(late is SubmitOutcome.Refused)
        }
    }

    @Nested
    inner class `while all servers say that they leave` {
        @Test
        fun `requests in the queue are refused a second later, long before their deadlines`() {
            fillServers(delayTolerantClass)
            servers.forEach { sayLeaving(it, 50) }

            val actionsBefore = scheduler.poll(1_040)
            val wakeUpMs = scheduler.nextWakeUpMs(1_040)
            val actions = scheduler.poll(1_050)

            assertTrue(actionsBefore.none { it is SchedulerAction.Drop })
            assertEquals(1_050, wakeUpMs)
            val refusals = actions.filterIsInstance<SchedulerAction.Drop>().map { it.refusal }
            assertTrue(refusals.isNotEmpty())
            assertTrue(refusals.all { it.reason == RefusalReason.NO_BACKEND_SERVER && it.retryAfterMs != null })
        }

        @Test
        fun `a server whose entry says so as well gets nothing`() {
            servers.forEach { sayLeaving(it, 0) }
            scheduler.onBackendServers(listOf(staying, leaving.copy(leaving = true)), 10)

            repeat(100) { submit("r$it", 20) }

            assertEquals(setOf(staying.backendServerId), serversOf(scheduler.startsAt(20)))
        }
    }
}
