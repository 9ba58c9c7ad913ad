package org.lycheemount.backend

import org.junit.jupiter.api.Nested
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import kotlin.test.Test
import kotlin.test.assertEquals

class ServerRosterTest {
    private val roster = ServerRoster(lapseGraceMs = 2_000)

    private fun server(
        id: String,
        leaving: Boolean = false,
    ) = BackendServer(BackendServerId(id), VmId(id), ZoneId("z"), "10.0.0.1", 80, emptySet(), leaving)

    private fun ids() = roster.servers.map { it.backendServerId.value }.toSet()

    @Nested
    inner class `entries that lapsed while the store was away` {
        @Test
        fun `are used until live servers would be back, guarding against a fleet that refuses everything after an outage`() {
            roster.onList(listOf(server("a"), server("b")), nowMs = 0)
            roster.onStoreAway()

            roster.onStoreAnswered(10_000)
            roster.onList(listOf(server("a")), 10_000)
            assertEquals(setOf("a", "b"), ids())

            roster.onRemoved(BackendServerId("a"), 10_500)
            roster.onEntry(server("a"))
            assertEquals(true, roster.expireLapsed(12_000))
            assertEquals(setOf("a"), ids())
        }

        @Test
        fun `are dropped at once when the server had announced its shutdown`() {
            roster.onList(listOf(server("a", leaving = true)), nowMs = 0)
            roster.onStoreAway()
            roster.onStoreAnswered(10_000)

            roster.onList(emptyList(), 10_000)

            assertEquals(emptySet(), ids())
        }
    }

    @Nested
    inner class `entries that are removed while the store answers` {
        @Test
        fun `end the use of the server at once`() {
            roster.onList(listOf(server("a")), nowMs = 0)

            roster.onRemoved(BackendServerId("a"), 5_000)

            assertEquals(emptySet(), ids())
        }
    }
}
