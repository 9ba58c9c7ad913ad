package org.lycheemount.app.router.gateway

import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.lycheemount.testing.FakeClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class ConfigurationRefresherTest {
    private val clock = FakeClock()
    private var reads = 0
    private var isStoreUp = true
    private val refresher =
        ConfigurationRefresher(clock) {
            reads++
            isStoreUp
        }

    @Nested
    inner class `requests with unknown keys` {
        @Test
        fun `share a read, so that callers with wrong keys do not exhaust the store's rate limit`() =
            runTest {
                repeat(100) { assertTrue(refresher.refresh()) }
                assertEquals(1, reads)

                clock.advance(200)
                assertTrue(refresher.refresh())

                assertEquals(2, reads)
            }

        @Test
        fun `learn that the configuration could not be read, so that they are not refused with a false 401`() =
            runTest {
                isStoreUp = false

                assertFalse(refresher.refresh())
            }
    }
}
