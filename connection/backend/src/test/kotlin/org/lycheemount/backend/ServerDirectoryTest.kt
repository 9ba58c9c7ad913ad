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
        run: String = id,
    ) = BackendServer(BackendServerId(id), VmId(run), ZoneId("z"), "10.0.0.1", 80, emptySet(), leaving)

    private fun runs() = directory.servers.map { it.vmId.value }

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

    @Nested
    inner class `a run that another run of its server had replaced` {
        private fun restoreStore() {
            directory.onStoreRestored(RESTORED_AT_MS)
            directory.onList(listOf(server("a", run = "a-1")), RESTORED_AT_MS)
        }

        @Test
        fun `does not replace the later run if a restored store lists it, so that no request is sent to a server that has ended`() {
            directory.onList(listOf(server("a", run = "a-1")), 0)
            directory.onEntry(server("a", run = "a-2"))

            restoreStore()
            assertEquals(listOf("a-2"), runs())

            directory.onEntry(server("a", run = "a-2"))
            directory.removeExpired(RESTORED_AT_MS + 2_000)
            assertEquals(listOf("a-2"), runs())
        }

        @Test
        fun `does not replace a run that was expired when it registered`() {
            directory.onStoreResponded(0)
            directory.onList(listOf(server("a", run = "a-1")), 0)
            directory.onStoreUnavailable(1_000)
            directory.onStoreResponded(10_000)
            directory.onList(emptyList(), 10_000)
            directory.onEntry(server("a", run = "a-2"))

            restoreStore()

            assertEquals(listOf("a-2"), runs())
        }

        @Test
        fun `counts as leaving if a restored store lists it after the later run has left`() {
            directory.onList(listOf(server("a", run = "a-1")), 0)
            directory.onEntry(server("a", run = "a-2"))
            directory.onRemoved(BackendServerId("a"), 1_000)

            restoreStore()

            assertEquals(listOf(true), directory.servers.map { it.leaving })
        }

        @Test
        fun `is used if it writes its entry again`() {
            directory.onList(listOf(server("a", run = "a-1")), 0)
            directory.onEntry(server("a", run = "a-2"))
            restoreStore()

            directory.onEntry(server("a", run = "a-1"))

            assertEquals(listOf("a-1"), runs())
            assertEquals(listOf(false), directory.servers.map { it.leaving })
        }
    }

    private companion object {
        private const val RESTORED_AT_MS = 20_000L
    }
}
