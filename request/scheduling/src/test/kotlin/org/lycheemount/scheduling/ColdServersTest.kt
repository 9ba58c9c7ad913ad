package org.lycheemount.scheduling

import org.junit.jupiter.api.Nested
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.ServiceId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import kotlin.test.Test
import kotlin.test.assertEquals

class ColdServersTest {
    private val coldServers =
        ColdServers().apply {
            onServices(
                mapOf(ServiceId("s") to ColdService(durationMs = 3_000, requestsPerS = 9.0)),
            )
        }
    private val policy = ColdLimitPolicy(overage = 1.5, slack = 5.0)

    private fun server(
        id: String,
        run: Int = 1,
        service: String = "s",
    ) = BackendServer(
        BackendServerId(id),
        VmId("$id@$run"),
        ZoneId("z"),
        "127.0.0.1",
        1,
        setOf(BackendTarget.Service(ServiceId(service))),
    )

    /** Of each limited server, the time at which its limit ends. */
    private fun endsAtMs(nowMs: Long) = coldServers.limitedServers(policy, nowMs).associate { it.backendServerId.value to it.endsAtMs }

    private fun list(
        nowMs: Long,
        vararg servers: BackendServer,
    ) = coldServers.onBackendServers(servers.toList(), nowMs)

    private fun statement(
        endsAtMs: Long,
        asOfMs: Long,
    ) = ColdStatement(BackendServerId("a"), VmId("a@1"), endsAtMs, asOfMs)

    @Nested
    inner class `a server` {
        @Test
        fun `is cold until the time in its row has passed since the reading`() {
            coldServers.onRow(server("a"), remainingMs = 2_500, nowMs = 1_000)
            list(1_000, server("a"))

            assertEquals(mapOf("a" to 3_500L), endsAtMs(3_499))
            assertEquals(emptyMap(), endsAtMs(3_500))
        }

        @Test
        fun `becomes cold again if its row says so`() {
            coldServers.onRow(server("a"), remainingMs = 0, nowMs = 1_000)
            list(1_000, server("a"))
            coldServers.onRow(server("a"), remainingMs = 3_000, nowMs = 2_000)

            assertEquals(mapOf("a" to 5_000L), endsAtMs(2_000))
        }

        @Test
        fun `of the first list is only as cold as its row says, guarding against a fleet that limits all servers when a router starts`() {
            list(1_000, server("a"))

            assertEquals(emptyMap(), endsAtMs(1_000))
        }

        @Test
        fun `that appears later without a time counts as cold, guarding against rows that are late`() {
            list(1_000, server("a"))
            list(2_000, server("a"), server("b"))
            coldServers.onRow(server("c"), remainingMs = 0, nowMs = 2_100)
            list(2_100, server("a", run = 2), server("b"), server("c"))

            assertEquals(mapOf("a" to 5_100L, "b" to 5_000L), endsAtMs(2_100))
        }

        @Test
        fun `that returns without a time after it was gone counts as cold`() {
            coldServers.onRow(server("a"), remainingMs = 0, nowMs = 1_000)
            list(1_000, server("a"))
            list(9_000)
            list(20_000, server("a"))

            assertEquals(mapOf("a" to 23_000L), endsAtMs(20_000))
        }

        @Test
        fun `of a service without a limit is not limited`() {
            list(1_000)
            coldServers.onRow(server("a", service = "other"), remainingMs = 2_500, nowMs = 1_000)
            list(1_000, server("a", service = "other"), server("b", service = "other"))

            assertEquals(emptyMap(), endsAtMs(1_000))
            assertEquals(emptyList(), coldServers.takeUntold(1_000))
        }
    }

    @Nested
    inner class `what a peer tells` {
        @Test
        fun `limits a server whose row this router cannot read, also before the server is listed`() {
            coldServers.onPeerStatement(statement(endsAtMs = 4_000, asOfMs = 1_000))
            coldServers.onRow(server("a"), remainingMs = 0, nowMs = 1_100)
            list(1_100, server("a"))

            assertEquals(mapOf("a" to 4_000L), endsAtMs(1_100))
        }

        @Test
        fun `that is older than the row of this router changes nothing`() {
            coldServers.onRow(server("a"), remainingMs = 0, nowMs = 2_000)
            list(2_000, server("a"))
            coldServers.onPeerStatement(statement(endsAtMs = 4_000, asOfMs = 1_000))

            assertEquals(emptyMap(), endsAtMs(2_000))
        }

        @Test
        fun `ends by a row that is read later`() {
            list(1_000, server("a"))
            coldServers.onPeerStatement(statement(endsAtMs = 4_000, asOfMs = 1_000))
            coldServers.onRow(server("a"), remainingMs = 0, nowMs = 2_500)

            assertEquals(emptyMap(), endsAtMs(2_500))
        }
    }

    @Nested
    inner class `a change` {
        @Test
        fun `is reported and told once, guarding against a message for each reading of a row`() {
            coldServers.onRow(server("a"), remainingMs = 2_500, nowMs = 1_000)
            list(1_000, server("a"))

            assertEquals(listOf("a"), coldServers.takeChanges(1_000).cold.map { it.backendServerId.value })
            assertEquals(1, coldServers.takeUntold(1_000).size)
            coldServers.onRow(server("a"), remainingMs = 1_600, nowMs = 2_000)
            assertEquals(ColdChanges(emptyList(), emptyList()), coldServers.takeChanges(2_000))
            assertEquals(0, coldServers.takeUntold(2_000).size)
            assertEquals(listOf(BackendServerId("a")), coldServers.takeChanges(3_600).warm)
        }

        @Test
        fun `is told again if the time rises`() {
            coldServers.onRow(server("a"), remainingMs = 2_500, nowMs = 1_000)
            list(1_000, server("a"))
            coldServers.takeUntold(1_000)
            coldServers.onRow(server("a"), remainingMs = 3_000, nowMs = 2_000)

            assertEquals(1, coldServers.takeUntold(2_000).size)
        }
    }
}
