package org.lycheemount.app.router.gateway

import org.junit.jupiter.api.Nested
import org.lycheemount.caller.WorkDispatcher
import org.lycheemount.common.BackendServer
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.RequestId
import org.lycheemount.config.WorkClass
import org.lycheemount.platform.StoreRow
import org.lycheemount.scheduling.CacheEvents
import org.lycheemount.scheduling.LoadReport
import org.lycheemount.scheduling.RequestScheduler
import org.lycheemount.scheduling.SchedulerAction
import org.lycheemount.scheduling.ServiceEvent
import org.lycheemount.scheduling.SubmitOutcome
import org.lycheemount.scheduling.WorkItem
import org.lycheemount.testing.FakeClock
import org.lycheemount.testing.FakeEventLog
import kotlin.test.Test
import kotlin.test.assertEquals

class OddServerEntryTest {
    private val clock = FakeClock()
    private val log = FakeEventLog()
    private val scheduler = ServerRecorder()
    private val listener = ServerRowListener(WorkDispatcher(scheduler, clock), clock, log)

    private val usedServerIds get() = scheduler.servers.map { it.backendServerId.value }.sorted()

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

    /** Records the servers that the dispatcher passes on; refuses all requests. */
    private class ServerRecorder : RequestScheduler {
        var servers = emptyList<BackendServer>()
            private set

        override fun onBackendServers(
            servers: List<BackendServer>,
            nowMs: Long,
        ) {
            this.servers = servers
        }

        override fun submit(
            item: WorkItem,
            nowMs: Long,
        ): SubmitOutcome = SubmitOutcome.Refused(Refusal(RefusalReason.NO_BACKEND_SERVER, "no server"))

        override fun onWorkClasses(workClasses: Collection<WorkClass>) = Unit

        override fun cancel(
            requestId: RequestId,
            nowMs: Long,
        ) = Unit

        override fun onServiceEvent(
            requestId: RequestId,
            event: ServiceEvent,
            nowMs: Long,
        ) = Unit

        override fun onLoadReport(
            report: LoadReport,
            nowMs: Long,
        ) = Unit

        override fun onCacheEvents(
            events: CacheEvents,
            nowMs: Long,
        ) = Unit

        override fun poll(nowMs: Long): List<SchedulerAction> = emptyList()

        override fun nextWakeUpMs(nowMs: Long): Long? = null
    }
}
