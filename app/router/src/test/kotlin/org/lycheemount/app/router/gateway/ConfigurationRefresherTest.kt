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
    private var checks = 0
    private var isStoreAvailable = true
    private var isBehind = false
    private val refresher =
        ConfigurationRefresher(clock, isBehind = { isBehind }) {
            checks++
            isStoreAvailable
        }

    private suspend fun refresh() = refresher.refresh(patienceMs = 1_000)

    @Nested
    inner class `a refresh for an unknown route or key` {
        @Test
        fun `is shared by requests within 200 ms, so that callers with wrong keys do not exhaust the store's rate limit`() =
            runTest {
                repeat(100) { assertTrue(refresh()) }
                assertEquals(1, checks)

                clock.advance(200)
                assertTrue(refresh())

                assertEquals(2, checks)
            }

        @Test
        fun `is shared while a peer has a newer version, so that callers with wrong keys do not exhaust the store's rate limit`() =
            runTest {
                isBehind = true
                repeat(100) { assertFalse(refresh()) }
                assertEquals(1, checks)

                isBehind = false
                assertTrue(refresh())
                assertEquals(1, checks)
            }

        @Test
        fun `fails while the store does not respond, so that a new key is not refused with 401`() =
            runTest {
                isStoreAvailable = false

                assertFalse(refresh())
            }
    }
}
