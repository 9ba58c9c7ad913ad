package org.lycheemount.backend

import org.junit.jupiter.api.Nested
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import kotlin.test.Test
import kotlin.test.assertEquals

class ServerDirectoryTest {
    private val directory = ServerDirectory(expiryGraceMs = 2_000)

    private fun server(
        id: String,
        leaving: Boolean = false,
    ) = BackendServer(BackendServerId(id), VmId(id), ZoneId("z"), "10.0.0.1", 80, emptySet(), leaving)

    private fun serverIds() = directory.servers.map { it.backendServerId.value }.toSet()

    @Nested
    inner class `entries that expired while the store was unavailable` {
        @Test
        fun `are used until live servers have registered again, so that an outage does not leave the fleet without servers`() {
            directory.onStoreResponded(0)
            directory.onList(listOf(server("a"), server("b")), nowMs = 0)
            directory.onStoreUnavailable(1_000)

            directory.onStoreResponded(10_000)
            directory.onList(listOf(server("a")), 10_000)
            assertEquals(setOf("a", "b"), serverIds())

            directory.onRemoved(BackendServerId("a"), 10_500)
            directory.onEntry(server("a"))
            assertEquals(true, directory.removeExpired(12_000))
            assertEquals(setOf("a"), serverIds())
        }

        @Test
        fun `are removed immediately if the server had announced its shutdown`() {
            directory.onStoreResponded(0)
            directory.onList(listOf(server("a", leaving = true)), nowMs = 0)
            directory.onStoreUnavailable(1_000)
            directory.onStoreResponded(10_000)

            directory.onList(emptyList(), 10_000)

            assertEquals(emptySet(), serverIds())
        }
    }

    @Nested
    inner class `entries that are removed while the store is available` {
        @Test
        fun `are removed from the list of servers immediately`() {
            directory.onList(listOf(server("a")), nowMs = 0)

            directory.onRemoved(BackendServerId("a"), 5_000)

            assertEquals(emptySet(), serverIds())
        }
    }
}
