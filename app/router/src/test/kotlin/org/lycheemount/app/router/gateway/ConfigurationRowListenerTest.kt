package org.lycheemount.app.router.gateway

import org.junit.jupiter.api.Nested
import org.lycheemount.config.PublishedConfiguration
import org.lycheemount.platform.StoreEra
import org.lycheemount.platform.StoreRow
import org.lycheemount.platform.adapter.CONFIGURATION_KEY
import org.lycheemount.testing.FakeClock
import org.lycheemount.testing.FakeEventLog
import kotlin.test.Test
import kotlin.test.assertEquals

class ConfigurationRowListenerTest {
    private val clock = FakeClock()
    private val eventLog = FakeEventLog()
    private val configuration = PublishedConfiguration(FakeEventLog())
    private val listener = ConfigurationRowListener(ConfigurationLoader(configuration, clock, eventLog) {}, clock, FakeEventLog())

    private fun row(version: Long) =
        StoreRow(CONFIGURATION_KEY, """{"version":$version,"services":[],"routes":[]}""".encodeToByteArray(), version)

    private val loggedEras get() = eventLog.events.filter { it.first == "configuration_read" }.map { it.second["store_era"] }

    @Nested
    inner class `the log of a configuration that was read` {
        @Test
        fun `has the era in which the table of its row was read`() {
            listener.onEra(StoreEra(1))
            listener.onAllRows(listOf(row(3)))
            listener.onChangedRows(listOf(row(4)))
            listener.onEra(StoreEra(2))
            listener.onAllRows(listOf(row(5)))
            listener.onEra(null)
            listener.onAllRows(listOf(row(6)))

            assertEquals(listOf<Any?>(1L, 1L, 2L, null), loggedEras)
        }
    }
}
