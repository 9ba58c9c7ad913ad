package org.lycheemount.scheduling

import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertNull
import kotlin.test.assertTrue

class HedgingPolicyTest {
    private val policy = HedgingPolicy()

    @Nested
    inner class `a route with known response times` {
        @Test
        fun `hedges few healthy calls, so that hedging does not add much load by itself`() {
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
        fun `never hedges a call that must not be repeated or lacks time or another server`() {
            repeat(100) { policy.onResponse(50) }

            assertNull(policy.hedgeDelayMs(isRepeatable = false, otherAvailableServers = 2, remainingMs = null))
            assertNull(policy.hedgeDelayMs(isRepeatable = true, otherAvailableServers = 0, remainingMs = null))
            assertNull(policy.hedgeDelayMs(isRepeatable = true, otherAvailableServers = 2, remainingMs = 60))
        }
    }
}
