package org.lycheemount.scheduling

import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertNull
import kotlin.test.assertTrue

class HedgingPolicyTest {
    private val policy = HedgingPolicy()

    @Nested
    inner class `a route with known answer times` {
        @Test
        fun `doubles few healthy calls, so hedging does not add load by itself`() {
            val random = Random(5)
            val hedged =
                (1..5_000).count {
                    val elapsedMs = 20 + random.nextLong(80)
                    val hedge = policy.hedgeDelayMs(isRepeatable = true, otherAvailableServers = 2, remainingMs = null)
                    policy.onResponse(elapsedMs)
                    hedge != null && elapsedMs > hedge
                }

            assertTrue(hedged < 50, "$hedged of 5000")
        }

        @Test
        fun `never doubles a call that must not be repeated, nor one without time or another server`() {
            repeat(100) { policy.onResponse(50) }

            assertNull(policy.hedgeDelayMs(isRepeatable = false, otherAvailableServers = 2, remainingMs = null))
            assertNull(policy.hedgeDelayMs(isRepeatable = true, otherAvailableServers = 0, remainingMs = null))
            assertNull(policy.hedgeDelayMs(isRepeatable = true, otherAvailableServers = 2, remainingMs = 60))
        }
    }
}
