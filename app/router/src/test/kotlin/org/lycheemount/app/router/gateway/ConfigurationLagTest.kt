package org.lycheemount.app.router.gateway

import org.junit.jupiter.api.Nested
import org.lycheemount.common.RouterId
import org.lycheemount.config.ConfigurationSnapshot
import org.lycheemount.config.PublishedConfiguration
import org.lycheemount.testing.FakeClock
import org.lycheemount.testing.FakeEventLog
import kotlin.test.Test
import kotlin.test.assertEquals

class ConfigurationLagTest {
    private val clock = FakeClock(nowMs = 1_000)
    private val eventLog = FakeEventLog()
    private val configuration = PublishedConfiguration(FakeEventLog())
    private val lag = ConfigurationLag(configuration, clock, eventLog)

    private fun hearOf(version: Long) = lag.onPeerVersion(RouterId("r2"), version)

    @Nested
    inner class `a router that hears of a newer version` {
        @Test
        fun `is behind from then on, until that version is in force`() {
            configuration.accept(ConfigurationSnapshot(sequence = 4))
            hearOf(6)
            clock.advance(700)
            hearOf(5)

            assertEquals(6, lag.newestKnownVersion)
            assertEquals(700, lag.behindMs)
            assertEquals(listOf("configuration_behind"), eventLog.events.map { it.first })

            configuration.accept(ConfigurationSnapshot(sequence = 6))
            assertEquals(0, lag.behindMs)
        }

        @Test
        fun `counts a later lag from its own start`() {
            configuration.accept(ConfigurationSnapshot(sequence = 4))
            hearOf(6)
            configuration.accept(ConfigurationSnapshot(sequence = 6))
            hearOf(6)
            clock.advance(10_000)
            hearOf(7)
            clock.advance(30)

            assertEquals(30, lag.behindMs)
        }
    }
}
