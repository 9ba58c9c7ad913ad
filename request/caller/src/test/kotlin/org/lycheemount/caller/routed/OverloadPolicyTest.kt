package org.lycheemount.caller.routed

import org.junit.jupiter.api.Nested
import org.lycheemount.common.RefusalReason
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class OverloadPolicyTest {
    @Nested
    inner class `a request` {
        @Test
        fun `is taken while its processor delay fits into the target of its route`() {
            assertNull(OverloadPolicy.refusalFor(queueDelayMs = 2, targetLatencyMs = 200, remainingMs = 1_000))
        }

        @Test
        fun `is refused as not run when the delay exceeds the target, with a time to return`() {
            val refusal = assertNotNull(OverloadPolicy.refusalFor(queueDelayMs = 60, targetLatencyMs = 200, remainingMs = 5_000))

            assertEquals(RefusalReason.OVERLOADED, refusal.reason)
            assertEquals(600, refusal.retryAfterMs)
        }

        @Test
        fun `whose deadline passed before it was read is refused, guarding against work for a caller that has left`() {
            val refusal = assertNotNull(OverloadPolicy.refusalFor(queueDelayMs = 0, targetLatencyMs = 200, remainingMs = 0))

            assertEquals(RefusalReason.DEADLINE_PAST, refusal.reason)
        }
    }

    @Nested
    inner class `twice as many requests as the processor handles` {
        private val requests = 500

        @Test
        fun `are served on time at most of the processor's rate, while most are late if all of them are taken`() {
            val onTimeIfAllAreTaken = countOnTime { null }
            val onTime = countOnTime { queueDelayMs -> OverloadPolicy.refusalFor(queueDelayMs, TARGET_MS, DEADLINE_MS)?.reason }

            assertTrue(onTimeIfAllAreTaken < requests / 10, "on time if all are taken: $onTimeIfAllAreTaken")
            assertTrue(onTime > requests * 3 / 10, "on time: $onTime")
        }

        /** Replays arrivals on a processor that runs ready tasks in turn. Each request takes [TURNS] turns, a refused one a single turn. */
        private fun countOnTime(refusalFor: (queueDelayMs: Long) -> RefusalReason?): Int {
            var nowMs = 0L
            var onTime = 0
            var arrived = 0
            val ready = ArrayDeque<Work>()
            while (arrived < requests || ready.isNotEmpty()) {
                while (arrived < requests && arrived * INTERARRIVAL_MS <= nowMs) ready += Work(arrived++ * INTERARRIVAL_MS)
                val work = ready.removeFirstOrNull()
                nowMs += MS_PER_TURN
                if (work == null) continue
                val queueDelayMs = nowMs - work.readySinceMs
                work.readySinceMs = nowMs
                work.turns++
                val isRefused = work.turns == TURNS_BEFORE_DECISION && refusalFor(queueDelayMs) != null
                when {
                    isRefused -> Unit
                    work.turns < TURNS -> ready += work
                    nowMs - work.arrivedAtMs <= TARGET_MS -> onTime++
                }
            }
            return onTime
        }
    }

    private class Work(
        val arrivedAtMs: Long,
    ) {
        var readySinceMs = arrivedAtMs
        var turns = 0
    }

    private companion object {
        private const val MS_PER_TURN = 8L
        private const val TURNS = 10
        private const val TURNS_BEFORE_DECISION = 2

        /** Half of the time that one request occupies the processor. */
        private const val INTERARRIVAL_MS = 40L
        private const val TARGET_MS = 1_000L
        private const val DEADLINE_MS = 6_000L
    }
}
