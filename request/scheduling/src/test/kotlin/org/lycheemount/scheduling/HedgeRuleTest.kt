package org.lycheemount.scheduling

import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertNull
import kotlin.test.assertTrue

class HedgeRuleTest {
    private val rule = HedgeRule()

    @Nested
    inner class `a route with known answer times` {
        @Test
        fun `doubles few healthy calls, so hedging does not add load by itself`() {
            val random = Random(5)
            val doubled =
                (1..5_000).count {
                    val elapsedMs = 20 + random.nextLong(80)
                    val hedge = rule.secondAttemptAfterMs(repeatable = true, otherOpenServers = 2, remainingMs = null)
                    rule.onAnswer(elapsedMs)
                    hedge != null && elapsedMs > hedge
                }

            assertTrue(doubled < 50, "$doubled of 5000")
        }

        @Test
        fun `never doubles a call that must not be repeated, nor one without time or another server`() {
            repeat(100) { rule.onAnswer(50) }

            assertNull(rule.secondAttemptAfterMs(repeatable = false, otherOpenServers = 2, remainingMs = null))
            assertNull(rule.secondAttemptAfterMs(repeatable = true, otherOpenServers = 0, remainingMs = null))
            assertNull(rule.secondAttemptAfterMs(repeatable = true, otherOpenServers = 2, remainingMs = 60))
        }
    }
}
