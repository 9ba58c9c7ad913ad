package org.lycheemount.app.router.gateway

import org.junit.jupiter.api.Nested
import org.lycheemount.caller.WorkDispatcher
import org.lycheemount.common.ZoneId
import org.lycheemount.platform.StoreRow
import org.lycheemount.scheduling.createRequestScheduler
import org.lycheemount.testing.FakeClock
import org.lycheemount.testing.FakeEventLog
import kotlin.test.Test
import kotlin.test.assertEquals

class OddServerEntryTest {
    private val clock = FakeClock()
    private val log = FakeEventLog()
    private val dispatcher = WorkDispatcher(createRequestScheduler(ZoneId("z"), seed = 1), clock)
    private val listener = ServerRowListener(dispatcher::onBackendServers, clock, log)

    private val usedServerIds get() = dispatcher.backendServers.map { it.backendServerId.value }.sorted()

    private val unreadableCount get() = log.events.count { (name, _) -> name == "server_entry_unreadable" }

    private fun row(
        id: String,
        value: String = """{"service":"s","address":"10.1.0.9:8080","zone":"z","state":"ready","slots":4,"sequence":1}""",
    ) = StoreRow(id, value.encodeToByteArray(), version = 1)

    private fun oddRows(id: String) =
        listOf(
            row(id, ""),
            row(id, "[".repeat(100_000)),
            row(id, """{"service":"s","address":"10.1.0.9:99999","zone":"z","state":"ready"}"""),
            row(id, """{"service":"s","address":"10.1.0.9:8080","zone":"z","state":"ready","born":1e999}"""),
            row(id, """{"service":"s","address":"10.1.0.9:8080","zone":"z","state":"retired"}"""),
            StoreRow(id, byteArrayOf(-1, -2), version = 1),
        )

    @Nested
    inner class `an odd entry of another writer` {
        @Test
        fun `among all rows or among changes leaves the other entries in use`() {
            listener.onAllRows(oddRows("odd") + row("i-1") + oddRows("odd") + row("i-2"))
            assertEquals(listOf("i-1", "i-2"), usedServerIds)

            listener.onChangedRows(oddRows("odd") + row("i-3") + oddRows("a\r\nb") + StoreRow("i-1", null, version = 2))
            assertEquals(listOf("i-2", "i-3"), usedServerIds)
        }

        @Test
        fun `in place of a server's entry names no server, guarding against a server that is used long after it has ended`() {
            for (odd in oddRows("i-1")) {
                listener.onAllRows(listOf(row("i-1"), row("i-2")))

                listener.onChangedRows(listOf(odd))

                assertEquals(listOf("i-2"), usedServerIds)
            }
        }

        @Test
        fun `that the server has written anew is used again, and the next odd one is logged again`() {
            listener.onAllRows(listOf(row("i-1")))

            listener.onChangedRows(oddRows("i-1"))
            assertEquals(1, unreadableCount)
            listener.onChangedRows(listOf(row("i-1")))
            assertEquals(listOf("i-1"), usedServerIds)
            listener.onChangedRows(oddRows("i-1"))

            assertEquals(2, unreadableCount)
        }
    }
}
