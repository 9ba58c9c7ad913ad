package org.lycheemount.scheduling

import org.junit.jupiter.api.Nested
import org.lycheemount.common.BackendServerId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private val faulty = BackendServerId("s0")

class ServerFaultTest {
    private val fleet = FakeFleet(serverCount = 3)
    private var next = 0

    @Nested
    inner class `a slow server` {
        @Test
        fun `loses nearly all of its share and gets it back after it recovers`() {
            serve(10_000)
            fleet.speedFactors[faulty] = 0.1
            serve(20_000)
            val whileSlow = share { serve(40_000) }
            fleet.speedFactors[faulty] = 1.0
            serve(100_000)
            val afterwards = share { serve(120_000) }

            assertTrue(whileSlow < 0.1, "share $whileSlow while slow")
            assertTrue(afterwards > 0.2, "share $afterwards after recovery")
        }
    }

    @Nested
    inner class `a server that was slower than the others for a while` {
        @Test
        fun `gets its share of a light load again, guarding against an idle server that is never measured again`() {
            for (speedFactor in listOf(0.8, 0.6, 0.45)) {
                val other = FakeFleet(serverCount = 3)
                other.speedFactors[faulty] = speedFactor
                serve(10_000, other, intervalMs = LIGHT_INTERVAL_MS)
                other.speedFactors[faulty] = 1.0
                serve(15_000, other, intervalMs = LIGHT_INTERVAL_MS)

                val afterwards = share(other) { serve(25_000, other, intervalMs = LIGHT_INTERVAL_MS) }

                assertTrue(afterwards > 1.0 / 6, "share $afterwards of three servers after a speed of $speedFactor")
            }
        }
    }

    @Nested
    inner class `a server that is slower than the others for good` {
        @Test
        fun `is measured by few requests, guarding against late requests each time its slowdown is forgotten`() {
            for (intervalMs in listOf(LIGHT_INTERVAL_MS, LIGHT_INTERVAL_MS / 2)) {
                val other = FakeFleet(serverCount = 3)
                other.speedFactors[faulty] = 0.4
                serve(10_000, other, intervalMs = intervalMs)

                val afterwards = share(other) { serve(70_000, other, intervalMs = intervalMs) }

                assertTrue(afterwards < 0.04, "share $afterwards of three servers, a request each $intervalMs ms")
                assertTrue(afterwards > 0.0, "never measured, a request each $intervalMs ms")
            }
        }
    }

    @Nested
    inner class `a server that hangs` {
        @Test
        fun `gets only probes after the first requests stall`() {
            serve(10_000)
            fleet.speedFactors[faulty] = 0.0
            serve(20_000)
            val whileHung = share { serve(40_000) }

            assertTrue(whileHung < 0.03, "share $whileHung while hung")
        }
    }

    @Nested
    inner class `a flapping server` {
        @Test
        fun `fails fewer and fewer requests because its backoff grows`() {
            serve(10_000)
            val firstSpell = failuresWhileFlapping(until = 40_000)
            val secondSpell = failuresWhileFlapping(until = 70_000)

            assertTrue(firstSpell in 3..40, "$firstSpell failures")
            assertTrue(secondSpell < firstSpell, "$firstSpell, then $secondSpell failures")
        }

        private fun failuresWhileFlapping(until: Long): Int {
            val before = fleet.failed.size
            serve(until) { now -> if (now / 500 % 2 == 0L) fleet.failing += faulty else fleet.failing -= faulty }
            return fleet.failed.size - before
        }
    }

    @Nested
    inner class `a leaving server` {
        @Test
        fun `gets no requests once the list shows it as leaving`() {
            serve(5_000)
            fleet.scheduler.onBackendServers(fleet.servers.map { it.copy(leaving = it.backendServerId == faulty) }, fleet.nowMs)

            assertEquals(0.0, share { serve(10_000) })
        }

        @Test
        fun `gets no requests after it refused one as leaving, although the list lags`() {
            serve(5_000)
            val scheduler = fleet.scheduler
            scheduler.submit(item("last", arrivedAtMs = 5_000, excluded = setOf(BackendServerId("s1"), BackendServerId("s2"))), 5_000)
            val start = scheduler.startsAt(5_000).single { it.requestId.value == "last" }
            scheduler.onServiceEvent(start.requestId, ServiceEvent.Failed(FailureKind.REFUSED_LEAVING), 5_000)

            assertEquals(0.0, share { serve(10_000) })
        }
    }

    private fun serve(
        untilMs: Long,
        fleet: FakeFleet = this.fleet,
        intervalMs: Long = 60,
        onTick: (Long) -> Unit = {},
    ) = fleet.run(untilMs) { now ->
        onTick(now)
        if (now % intervalMs == 0L) fleet.submit(item("r${next++}", arrivedAtMs = now))
    }

    private fun share(
        fleet: FakeFleet = this.fleet,
        during: () -> Unit,
    ): Double {
        val before = HashMap(fleet.startedOn)
        during()
        val started = fleet.startedOn.mapValues { (id, count) -> count - (before[id] ?: 0) }
        return (started[faulty] ?: 0) / started.values.sum().toDouble()
    }

    private companion object {
        private const val LIGHT_INTERVAL_MS = 200L
    }
}
