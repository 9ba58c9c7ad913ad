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
    private var isStoreAvailable = true
    private val refresher =
        ConfigurationRefresher(clock) {
            reads++
            isStoreAvailable
        }

    @Nested
    inner class `a refresh for an unknown route or key` {
        @Test
        fun `is shared by requests within 200 ms, so that callers with wrong keys do not exhaust the store's rate limit`() =
            runTest {
                repeat(100) { assertTrue(refresher.refresh()) }
                assertEquals(1, reads)

                clock.advance(200)
                assertTrue(refresher.refresh())

                assertEquals(2, reads)
            }

        @Test
        fun `fails while the store does not respond, so that a new key is not refused with 401`() =
            runTest {
                isStoreAvailable = false

                assertFalse(refresher.refresh())
            }
    }
}
