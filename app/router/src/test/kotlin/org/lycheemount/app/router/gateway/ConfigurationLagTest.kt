package org.lycheemount.app.router.gateway

import org.junit.jupiter.api.Nested
import org.lycheemount.common.RouterId
import org.lycheemount.config.ConfigurationSnapshot
import org.lycheemount.config.PublishedConfiguration
import org.lycheemount.testing.FakeClock
import org.lycheemount.testing.FakeEventLog
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

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

    @Nested
    inner class `a router that no longer hears of a version newer than the one in force` {
        @Test
        fun `counts as behind for 30 s, guarding against 503 for unknown routes without end`() {
            configuration.accept(ConfigurationSnapshot(sequence = 4))
            hearOf(6)
            clock.advance(20_000)
            hearOf(6)
            clock.advance(29_999)
            assertTrue(lag.isBehind)
            assertEquals(49_999, lag.behindMs)

            clock.advance(1)
            assertFalse(lag.isBehind)
            assertEquals(4, lag.newestKnownVersion)
            assertEquals(0, lag.behindMs)
            assertEquals("configuration_version_expired", eventLog.events.last().first)
        }

        @Test
        fun `counts as behind the next lower version that it still hears of`() {
            configuration.accept(ConfigurationSnapshot(sequence = 4))
            hearOf(6)
            clock.advance(20_000)
            hearOf(5)
            clock.advance(10_000)

            assertEquals(5, lag.newestKnownVersion)
            assertTrue(lag.isBehind)
        }

        @Test
        fun `counts a later lag from its own start`() {
            configuration.accept(ConfigurationSnapshot(sequence = 4))
            hearOf(6)
            clock.advance(40_000)
            hearOf(6)
            clock.advance(30)

            assertEquals(30, lag.behindMs)
        }
    }
}
