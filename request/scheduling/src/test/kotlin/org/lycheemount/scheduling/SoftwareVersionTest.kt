package org.lycheemount.scheduling

import org.junit.jupiter.api.Nested
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.SoftwareVersion
import org.lycheemount.common.VmId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

private val V1 = SoftwareVersion("v1")
private val V2 = SoftwareVersion("v2")

class SoftwareVersionTest {
    private val old = server(0, version = V1)
    private val newServers = (1..3).map { server(it, version = V2) }
    private val scheduler = scheduler(newServers + old)

    private fun versionOf(id: BackendServerId) = (newServers + old).single { it.backendServerId == id }.softwareVersion

    /** Submits requests for [versions] until some of them are queued; returns those that have started. */
    private fun fill(
        versions: Set<SoftwareVersion>,
        count: Int = 200,
    ): List<SchedulerAction.Start> {
        repeat(count) { scheduler.submit(item("fill-$it", versions = versions), 0) }
        return scheduler.startsAt(0)
    }

    @Nested
    inner class `a request that allows one version` {
        @Test
        fun `is refused at once without a server of it, guarding against a search until the deadline`() {
            val unknownVersion = scheduler.submit(item("r1", versions = setOf(SoftwareVersion("v3"))), 0)
            val excluded = scheduler.submit(item("r2", versions = setOf(V1), excluded = setOf(old.backendServerId)), 0)
            val noVersion = scheduler.submit(item("r3", versions = emptySet()), 0)

            for (outcome in listOf(unknownVersion, excluded, noVersion)) assertIs<SubmitOutcome.Refused>(outcome)
        }

        @Test
        fun `starts only on servers of it over random traces, guarding against streams that are joined from two versions`() {
            for (seed in 1L..10L) {
                val random = Random(seed)
                val scheduler = scheduler(newServers + old, seed)
                val allowedVersions = HashMap<String, Set<SoftwareVersion>?>()
                for (step in 0L until 500L) {
                    val versions = listOf(null, setOf(V1), setOf(V2), setOf(V1, V2)).random(random)
                    val prefix = List(8) { random.nextLong(4) }
                    val item = item("r$step", "team-${random.nextInt(3)}", arrivedAtMs = step, prefixHashes = prefix, versions = versions)
                    allowedVersions["r$step"] = versions
                    scheduler.submit(item, step)
                    for (start in scheduler.startsAt(step)) {
                        val allowed = allowedVersions.getValue(start.requestId.value)
                        assertTrue(allowed == null || versionOf(start.backendServerId) in allowed, "seed $seed step $step: $start")
                        if (random.nextInt(3) > 0) scheduler.onServiceEvent(start.requestId, ServiceEvent.Completed(16), step)
                    }
                }
            }
        }

        @Test
        fun `is not refused for the queue of another version, guarding against streams that end while their servers are idle`() {
            fill(setOf(V2), count = 400)

            assertEquals(SubmitOutcome.Queued, scheduler.submit(item("resumed", versions = setOf(V1)), 0))
            assertEquals(listOf(old.backendServerId), scheduler.startsAt(0).map { it.backendServerId })
        }

        @Test
        fun `is refused if the queue of its own version is too long`() {
            val outcomes = (0 until 400).map { scheduler.submit(item("r$it", versions = setOf(V1)), 0).also { scheduler.poll(0) } }

            assertIs<SubmitOutcome.Refused>(outcomes.last())
        }
    }

    @Nested
    inner class `queued requests that allow one version` {
        @Test
        fun `do not hold up requests that may use other servers, guarding against idle servers beside a queue`() {
            fill(setOf(V1))

            scheduler.submit(item("new", arrivedAtMs = 0), 0)

            val start = scheduler.startsAt(0).single()
            assertEquals("new" to V2, start.requestId.value to versionOf(start.backendServerId))
        }

        /** Queues requests for the only server of the old version, and checks that they are refused once [onLoss] has made it unusable. */
        private fun assertDroppedAfter(onLoss: (List<SchedulerAction.Start>) -> Unit) {
            val starts = fill(setOf(V1))
            scheduler.submit(item("other"), 0)

            onLoss(starts)
            val actions = scheduler.poll(10)

            assertEquals(listOf("other"), actions.filterIsInstance<SchedulerAction.Start>().map { it.requestId.value })
            assertTrue(actions.filterIsInstance<SchedulerAction.Drop>().isNotEmpty())
            val started = starts.map { it.requestId } + actions.filterIsInstance<SchedulerAction.Start>().map { it.requestId }
            started.forEach { scheduler.onServiceEvent(it, ServiceEvent.Completed(16), 20) }
            assertEquals(emptyList(), scheduler.poll(100_000), "requests were left in the queue")
        }

        @Test
        fun `are refused at once when its last server is no longer listed, guarding against a wait until the deadline`() =
            assertDroppedAfter { scheduler.onBackendServers(newServers, 10) }

        @Test
        fun `are refused at once when its last server announces its shutdown`() =
            assertDroppedAfter { scheduler.onBackendServers(newServers + old.copy(leaving = true), 10) }

        @Test
        fun `are refused at once when its last server refuses requests because it is leaving`() =
            assertDroppedAfter { starts ->
                scheduler.onServiceEvent(starts.first().requestId, ServiceEvent.Failed(FailureKind.REFUSED_LEAVING), 10)
            }

        @Test
        fun `are refused at once when its last server is upgraded under its id, guarding against streams joined from two versions`() =
            assertDroppedAfter {
                scheduler.onBackendServers(newServers + old.copy(vmId = VmId("vm0-b"), softwareVersion = V2), 10)
            }
    }

    @Nested
    inner class `new streams while versions are mixed` {
        /** Runs [fleet] and returns the requests that each server got, relative to the mean. */
        private fun load(
            fleet: FakeFleet,
            requestsPerS: Int,
            resumedShare: Double = 0.0,
        ): List<Double> {
            val random = Random(3)
            var submitted = 0
            fleet.run(untilMs = 30_000) { nowMs ->
                while (submitted < nowMs * requestsPerS / 1_000) {
                    val versions = if (random.nextDouble() < resumedShare) setOf(V1) else null
                    fleet.submit(item("r${submitted++}", "team-${submitted % 3}", arrivedAtMs = nowMs, versions = versions))
                }
            }
            val mean = fleet.startedOn.values.sum() / fleet.servers.size.toDouble()
            return fleet.servers.map { (fleet.startedOn[it.backendServerId] ?: 0) / mean }
        }

        @Test
        fun `are spread by server, guarding against load that piles up on the few servers of one version`() {
            val fleet = FakeFleet(10, versionOf = { if (it < 2) V1 else V2 })

            val shares = load(fleet, requestsPerS = 60)

            assertTrue(shares.all { it in 0.5..1.5 }, "$shares")
            assertEquals(emptyMap(), fleet.refused)
        }

        @Test
        fun `give way to resumed streams on the few servers of an old version`() {
            val fleet = FakeFleet(10, versionOf = { if (it < 2) V1 else V2 })

            val shares = load(fleet, requestsPerS = 60, resumedShare = 0.2)

            assertTrue(shares.all { it in 0.5..1.5 }, "$shares")
            assertEquals(emptyMap(), fleet.refused)
        }
    }
}
