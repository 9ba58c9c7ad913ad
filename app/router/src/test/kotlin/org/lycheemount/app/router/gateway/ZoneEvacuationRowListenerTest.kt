package org.lycheemount.app.router.gateway

import org.junit.jupiter.api.Nested
import org.lycheemount.caller.WorkDispatcher
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.Clock
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.platform.StoreEra
import org.lycheemount.platform.StoreRow
import org.lycheemount.scheduling.createRequestScheduler
import org.lycheemount.testing.FakeEventLog
import kotlin.test.Test
import kotlin.test.assertEquals

class ZoneEvacuationRowListenerTest {
    private val eventLog = FakeEventLog()
    private val clock =
        object : Clock {
            override fun monotonicMs() = 0L

            override fun wallClockMs() = 0L
        }
    private val dispatcher = WorkDispatcher(createRequestScheduler(ZoneId("z"), seed = 1), clock)
    private val evacuations = ZoneEvacuationState(dispatcher, clock, eventLog)
    private val listener = ZoneEvacuationRowListener(evacuations, eventLog)
    private var version = 0L

    private val events get() = eventLog.events.map { it.first }

    private val evacuated get() = evacuations.statements().filter { it.isEvacuated }.map { it.zoneId.value }

    private fun row(
        key: String,
        value: String?,
    ) = StoreRow(key, value?.encodeToByteArray(), ++version)

    private fun readAll(vararg rows: StoreRow) {
        listener.onAllRows(rows.toList())
        listener.onCurrent(++version)
    }

    private fun server(zone: String) = BackendServer(BackendServerId("s"), VmId("v"), ZoneId(zone), "127.0.0.1", 1, emptySet())

    @Nested
    inner class `an operator's row` {
        @Test
        fun `evacuates its zone, which is logged once although the row is read again`() {
            val row = row("evacuate/z1", "{}")

            repeat(3) { readAll(row, row("config", "{}")) }

            assertEquals(listOf("z1"), evacuated)
            assertEquals(listOf("zone_evacuated"), events)
        }

        @Test
        fun `ends the evacuation by its absence in a read of all rows`() {
            readAll(row("evacuate/z1", "{}"))
            readAll()

            assertEquals(emptyList(), evacuated)
            assertEquals(listOf("zone_evacuated", "zone_restored"), events)
        }

        @Test
        fun `evacuates its zone though it has a lower version since the store came back from an older copy`() {
            listener.onEra(StoreEra(1))
            version = 100
            readAll(row("evacuate/z1", "{}"))
            listener.onChangedRows(listOf(row("evacuate/z1", null)))

            listener.onEra(StoreEra(2))
            version = 50
            readAll()
            listener.onChangedRows(listOf(row("evacuate/z1", "{}")))

            assertEquals(listOf("z1"), evacuated)
            assertEquals(listOf("zone_evacuated", "zone_restored", "zone_evacuated"), events)
        }

        @Test
        fun `evacuates its zone although its value cannot be read, which is logged once`() {
            repeat(2) { listener.onChangedRows(listOf(row("evacuate/z1", "no JSON"))) }

            assertEquals(listOf("z1"), evacuated)
            assertEquals(listOf("evacuation_unreadable", "zone_evacuated"), events)
        }

        @Test
        fun `without a zone or with a name that is too long is logged once and evacuates nothing`() {
            val keys = listOf("evacuate/", "evacuate/ ", "evacuate/" + "z".repeat(129))

            repeat(2) { listener.onChangedRows(keys.map { row(it, "{}") }) }
            listener.onChangedRows(keys.map { row(it, null) })

            assertEquals(emptyList(), evacuated)
            assertEquals(List(keys.size) { "evacuation_key_invalid" }, events)
        }

        @Test
        fun `with the longest name evacuates its zone`() {
            listener.onChangedRows(listOf(row("evacuate/" + "z".repeat(128), "{}")))

            assertEquals(1, evacuated.size)
        }

        @Test
        fun `of a zone that no server has is logged once in each evacuation, once servers are known`() {
            listener.onChangedRows(listOf(row("evacuate/z1", "{}")))
            assertEquals(listOf("zone_evacuated"), events)

            repeat(2) { evacuations.onBackendServers(listOf(server("z2"))) }
            listener.onChangedRows(listOf(row("evacuate/z1", null)))
            listener.onChangedRows(listOf(row("evacuate/z1", "{}")))

            val once = listOf("zone_evacuated", "zone_without_servers")
            assertEquals(once + "zone_restored" + once, events)
        }
    }
}
