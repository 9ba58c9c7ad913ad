package org.lycheemount.budget

import org.junit.jupiter.api.Nested
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RefillPacerTest {
    /** A transaction of [router], based on the version of the row that it read. */
    private class Attempt(
        val router: Int,
        val readAtMs: Long,
    )

    /**
     * Replays routers that all start at once and commit [COMMITS_PER_ROUTER] refills each on the same row, in a partition that handles
     * one transaction after another. [nextAttemptMs] returns when a router tries again after a result. Returns the commits until the
     * start of the traffic.
     */
    private fun replay(
        routers: Int,
        nextAttemptMs: (router: Int, result: WriteAttemptResult, nowMs: Long) -> Long,
    ): Int {
        val waiting = PriorityQueue<Attempt>(compareBy({ it.readAtMs }, { it.router }))
        repeat(routers) { waiting += Attempt(it, readAtMs = 0) }
        val commits = IntArray(routers)
        var lastCommitMs = -1L
        var nowMs = 0L
        while (waiting.isNotEmpty() && nowMs < TRAFFIC_START_MS) {
            val attempt = waiting.remove()
            nowMs = maxOf(nowMs, attempt.readAtMs + READ_MS) + TRANSACTION_MS
            val result = if (attempt.readAtMs > lastCommitMs) WriteAttemptResult.COMMITTED else WriteAttemptResult.CONFLICT
            if (result == WriteAttemptResult.COMMITTED) {
                lastCommitMs = nowMs
                commits[attempt.router]++
            }
            if (commits[attempt.router] < COMMITS_PER_ROUTER) {
                waiting += Attempt(attempt.router, nextAttemptMs(attempt.router, result, nowMs))
            }
        }
        return commits.sum()
    }

    private fun replayPaced(routers: Int): Int {
        val pacers = List(routers) { RefillPacer(Random(it)) }
        return replay(routers) { router, result, nowMs ->
            pacers[router].record(result, nowMs, routers)
            nowMs + pacers[router].untilDueMs(nowMs)
        }
    }

    @Nested
    inner class `95 routers that start at once` {
        @Test
        fun `all take their grants before the traffic starts, guarding against routers that keep each other from committing`() {
            val commitsBefore = replay(95) { _, _, nowMs -> nowMs + 1 }

            assertTrue(commitsBefore < 95 * COMMITS_PER_ROUTER, "$commitsBefore refills with the policy before")
            assertEquals(95 * COMMITS_PER_ROUTER, replayPaced(95))
        }
    }

    private companion object {
        private const val COMMITS_PER_ROUTER = 3
        private const val READ_MS = 4L
        private const val TRANSACTION_MS = 3L
        private const val TRAFFIC_START_MS = 19_000L
    }
}
