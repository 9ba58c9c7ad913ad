package org.lycheemount.caller

import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.TeamId
import org.lycheemount.config.TeamLimits
import kotlin.math.ceil

/** Rate and concurrency limits of each team in this router. Pure: times are passed in; not thread-safe. */
internal class TeamLimiter {
    private val usages = mutableMapOf<TeamId, Usage>()

    /** Admits one request of [teamId], which [leave] must follow, or returns the refusal. */
    fun enter(
        teamId: TeamId,
        limits: TeamLimits,
        nowMs: Long,
    ): Refusal? {
        val burst = limits.requestsPerSecond.coerceAtLeast(1.0)
        val usage = usages.getOrPut(teamId) { Usage(burst, nowMs) }
        usage.refill(limits.requestsPerSecond, burst, nowMs)
        if (usage.running >= limits.concurrentRequests) {
            return Refusal(
                RefusalReason.CONCURRENCY_LIMITED,
                "limit is ${limits.concurrentRequests} concurrent requests",
                CONCURRENCY_RETRY_MS,
            )
        }
        if (usage.permits < 1) {
            val waitMs = ceil((1 - usage.permits) * MS_PER_SECOND / limits.requestsPerSecond).toLong()
            return Refusal(RefusalReason.RATE_LIMITED, "limit is ${limits.requestsPerSecond} requests per second", waitMs)
        }
        usage.permits -= 1
        usage.running++
        return null
    }

    fun leave(teamId: TeamId) {
        val usage = checkNotNull(usages[teamId]) { "team ${teamId.value} has no request" }
        check(usage.running > 0) { "team ${teamId.value} has no request" }
        usage.running--
    }

    fun runningRequests(): Map<TeamId, Int> = usages.mapValues { it.value.running }

    private class Usage(
        var permits: Double,
        var refilledAtMs: Long,
    ) {
        var running = 0

        fun refill(
            requestsPerSecond: Double,
            burst: Double,
            nowMs: Long,
        ) {
            permits = (permits + (nowMs - refilledAtMs) * requestsPerSecond / MS_PER_SECOND).coerceAtMost(burst)
            refilledAtMs = nowMs
        }
    }

    private companion object {
        private const val MS_PER_SECOND = 1_000.0
        private const val CONCURRENCY_RETRY_MS = 1_000L
    }
}
