package org.lycheemount.scheduling

import org.junit.jupiter.api.Nested
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.ZoneId
import org.lycheemount.config.WorkClass
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class EvacuatedZoneTest {
    // Servers with odd numbers are in the evacuated zone.
    private val servers = List(4, ::server)
    private val scheduler = scheduler(servers)
    private val evacuated = setOf(ZoneId("z1"))
    private val allZones = evacuated + ZoneId("z0")
    private val remaining = servers.filter { it.zoneId !in evacuated }.map { it.backendServerId }.toSet()

    private fun fillServers(workClass: WorkClass = urgentClass): List<SchedulerAction.Start> {
        repeat(800) { scheduler.submit(item("r$it", workClass = workClass), 0) }
        return scheduler.startsAt(0)
    }

    private fun end(
        starts: List<SchedulerAction.Start>,
        nowMs: Long,
    ): List<SchedulerAction.Start> =
        starts.flatMap {
            scheduler.onServiceEvent(it.requestId, ServiceEvent.Completed(outputTokens = 16), nowMs)
            scheduler.startsAt(nowMs)
        }

    private fun serversOf(starts: List<SchedulerAction.Start>) = starts.map { it.backendServerId }.toSet()

    @Nested
    inner class `servers of an evacuated zone` {
        @Test
        fun `get none of the requests that were already queued, and their work continues`() {
            val starts = fillServers()
            assertEquals(servers.map { it.backendServerId }.toSet(), serversOf(starts))

            scheduler.onEvacuatedZones(evacuated, 50)
            val actions = scheduler.poll(50)
            val laterStarts = end(starts, 100)

            assertTrue(actions.none { it is SchedulerAction.Drop })
            assertTrue(laterStarts.isNotEmpty())
            assertEquals(remaining, serversOf(laterStarts))
        }

        @Test
        fun `get no request after the list of servers is read again, with one more server in the zone`() {
            scheduler.onEvacuatedZones(evacuated, 0)
            scheduler.onBackendServers(servers + server(5), 10)

            repeat(100) { scheduler.submit(item("r$it", arrivedAtMs = 20), 20) }

            assertEquals(remaining, serversOf(scheduler.startsAt(20)))
        }

        @Test
        fun `get no request that failed at all others, which is refused at once with the reason and a time to retry`() {
            scheduler.onEvacuatedZones(evacuated, 0)

            val outcome = scheduler.submit(item("retry", excluded = remaining), 10)

            val refusal = (outcome as SubmitOutcome.Refused).refusal
            assertEquals(RefusalReason.ZONES_EVACUATED, refusal.reason)
            assertTrue(refusal.retryAfterMs != null)
        }

        @Test
        fun `get requests again once the evacuation has ended`() {
            scheduler.onEvacuatedZones(evacuated, 0)
            scheduler.onEvacuatedZones(emptySet(), 10)

            repeat(100) { scheduler.submit(item("r$it", arrivedAtMs = 20), 20) }

            assertEquals(servers.map { it.backendServerId }.toSet(), serversOf(scheduler.startsAt(20)))
        }

        @Test
        fun `get no request within a second of saying that they leave, unlike servers that leave elsewhere`() {
            scheduler.onEvacuatedZones(allZones, 0)
            servers.forEach { scheduler.onLeaving(LeavingStatement(it.backendServerId, it.vmId, isLeaving = true, asOfMs = 10), 10) }

            assertTrue(scheduler.submit(item("r"), 20) is SubmitOutcome.Refused)
            assertEquals(emptyList(), scheduler.startsAt(20))
        }
    }

    @Nested
    inner class `while all zones are evacuated` {
        @Test
        fun `queued requests are refused at once with the reason, long before their deadlines`() {
            fillServers(delayTolerantClass)

            scheduler.onEvacuatedZones(allZones, 50)
            val actions = scheduler.poll(50)

            val refusals = actions.filterIsInstance<SchedulerAction.Drop>().map { it.refusal }
            assertTrue(refusals.isNotEmpty())
            assertEquals(refusals.size, actions.size)
            assertTrue(refusals.all { it.reason == RefusalReason.ZONES_EVACUATED && it.retryAfterMs != null })
        }

        @Test
        fun `a service without any server is refused for that reason`() {
            scheduler.onBackendServers(emptyList(), 0)
            scheduler.onEvacuatedZones(allZones, 0)

            val refusal = (scheduler.submit(item("r"), 10) as SubmitOutcome.Refused).refusal

            assertEquals(RefusalReason.NO_BACKEND_SERVER, refusal.reason)
        }
    }
}
