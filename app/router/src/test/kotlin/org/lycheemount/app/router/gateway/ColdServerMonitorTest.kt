package org.lycheemount.app.router.gateway

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.ServiceId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.config.ConfigurationSnapshot
import org.lycheemount.config.PublishedConfiguration
import org.lycheemount.config.RoutedService
import org.lycheemount.peer.PeerChannel
import org.lycheemount.platform.StoreRow
import org.lycheemount.scheduling.ColdLimitPolicy
import org.lycheemount.scheduling.ColdServer
import org.lycheemount.testing.FakeEventLog
import org.lycheemount.testing.FakePeerNetwork
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ColdServerMonitorTest {
    /** A router whose monotonic clock is [clockOffsetMs] ahead. */
    private class Router(
        index: Int,
        scope: TestScope,
        network: FakePeerNetwork,
        coldPerS: Double,
        private val clockOffsetMs: Long,
    ) {
        private val clock = scope.virtualClock(clockOffsetMs)
        private val log = FakeEventLog()
        private val configuration = PublishedConfiguration(log)
        val messenger =
            network.join(RouterIdentity(RouterId("r$index"), VmId("vm-r$index"), RegionId("region"), ZoneId("z"), incarnation = 1))
        private val exchange = PeerColdServerExchange(messenger, clock, log)
        private var limited = emptyList<ColdServer>()
        private val monitor =
            ColdServerMonitor(configuration, { ColdLimitPolicy() }, clock, log, { limited = it }, exchange::announce)
        private val rows = ServerRowListener(monitor::onBackendServers, clock, log, onRow = monitor::onRow)

        init {
            val service = RoutedService(ServiceId("s"), 10, coldDurationMs = 3_000, coldRequestsPerS = coldPerS)
            configuration.accept(ConfigurationSnapshot(sequence = 1, routedServices = mapOf(service.serviceId to service)))
            exchange.start(scope.backgroundScope, monitor)
            monitor.start(scope.backgroundScope)
            rows.onAllRows(listOf(row(coldField(0))))
        }

        fun read(otherFields: String) = rows.onChangedRows(listOf(row(otherFields)))

        /** Times at which limits end, on a clock that all routers share. */
        val endsAtMs get() = limited.map { it.endsAtMs - clockOffsetMs }

        val coldServerCount get() = monitor.coldServerCount

        fun count(event: String) = log.events.count { it.first == event }

        private fun row(otherFields: String) =
            StoreRow(
                "i-1",
                """{"service":"s","address":"10.1.0.9:8080","zone":"z","state":"ready"$otherFields}""".encodeToByteArray(),
                version = 1,
            )
    }

    private fun runFleet(
        count: Int = 3,
        coldPerS: Double = 9.0,
        steps: suspend (List<Router>, FakePeerNetwork) -> Unit,
    ) = runTest {
        val network = FakePeerNetwork(backgroundScope)
        steps(List(count) { Router(it, this, network, coldPerS, clockOffsetMs = it * 100_000L) }, network)
    }

    @Nested
    inner class `a server that one router has read to be cold` {
        @Test
        fun `is limited by all routers until the same time, guarding against routers without the store`() =
            runFleet { routers, _ ->
                delay(2_000)
                routers[0].read(coldField(2_500))
                delay(100)

                assertEquals(listOf(4_500L), routers[0].endsAtMs)
                assertTrue(routers.all { it.endsAtMs.single() in 4_500L..4_500L + MAX_DELAY_MS }, "${routers.map { it.endsAtMs }}")
                assertEquals(List(3) { 1 }, routers.map { it.coldServerCount })
                delay(3_000)
                assertEquals(List(3) { listOf(1, 1) }, routers.map { listOf(it.count("server_cold"), it.count("server_warm")) })
                assertEquals(List(3) { 0 }, routers.map { it.coldServerCount })
            }

        @Test
        fun `is told to a router whose link opens later`() =
            runFleet { routers, network ->
                network.partition(listOf(RouterId("r0"), RouterId("r2")), listOf(RouterId("r1")))
                delay(2_000)
                routers[0].read(coldField(5_000))
                delay(1_000)
                assertEquals(emptyList(), routers[1].endsAtMs)
                network.heal()
                delay(1_000)

                assertTrue(routers[1].endsAtMs.single() in 7_000L..7_000L + MAX_DELAY_MS, "${routers[1].endsAtMs}")
            }

        @Test
        fun `is not limited by a service without a rate`() =
            runFleet(coldPerS = 0.0) { routers, _ ->
                routers[0].read(coldField(2_500))
                routers[0].read(coldField(-1))
                delay(100)

                assertEquals(List(3) { emptyList<Long>() }, routers.map { it.endsAtMs })
                assertEquals(0, routers[0].count("server_cold") + routers[0].count("server_cold_time_unreadable"))
            }
    }

    @Nested
    inner class `a time that cannot be used` {
        @Test
        fun `is logged once until the row is valid again`() =
            runFleet { routers, _ ->
                listOf("", coldField(-1), coldField(-1), coldField(0), coldField(-1)).forEach { routers[0].read(it) }

                assertEquals(2, routers[0].count("server_cold_time_unreadable"))
                assertEquals(emptyList(), routers[0].endsAtMs)
            }

        @Test
        fun `in a message of a peer is ignored`() =
            runFleet { routers, _ ->
                routers[0].messenger.send(RouterId("r1"), PeerChannel("cold"), "no message".encodeToByteArray())
                delay(50)

                assertEquals(1, routers[1].count("peer_statement_unreadable"))
            }
    }

    private companion object {
        private const val MAX_DELAY_MS = 50L

        private fun coldField(remainingMs: Long) = ""","cold_remaining_ms":$remainingMs"""
    }
}
