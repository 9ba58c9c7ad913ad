package org.lycheemount.caller

import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.TeamId
import org.lycheemount.config.TeamLimits
import kotlin.math.ceil

/** Enforces the rate and concurrency limits of each team in this router. Times are passed in; not thread-safe. */
internal class TeamLimiter {
    private val usageByTeam = mutableMapOf<TeamId, Usage>()

    /** Admits one request of [teamId], which must be ended with [release], or returns a refusal. */
    fun tryAcquire(
        teamId: TeamId,
        limits: TeamLimits,
        nowMs: Long,
    ): Refusal? {
        val burst = limits.requestsPerSecond.coerceAtLeast(1.0)
        val usage = usageByTeam.getOrPut(teamId) { Usage(burst, nowMs) }
        usage.refill(limits.requestsPerSecond, burst, nowMs)
        if (usage.runningRequests >= limits.concurrentRequests) {
            return Refusal(
                RefusalReason.CONCURRENCY_LIMITED,
                "the limit is ${limits.concurrentRequests} concurrent requests",
                CONCURRENCY_RETRY_AFTER_MS,
            )
        }
        if (usage.availablePermits < 1) {
            val waitMs = ceil((1 - usage.availablePermits) * MS_PER_SECOND / limits.requestsPerSecond).toLong()
            return Refusal(RefusalReason.RATE_LIMITED, "the limit is ${limits.requestsPerSecond} requests per second", waitMs)
        }
        usage.availablePermits -= 1
        usage.runningRequests++
        return null
    }

    fun release(teamId: TeamId) {
        val usage = checkNotNull(usageByTeam[teamId]) { "team ${teamId.value} has no running request" }
        check(usage.runningRequests > 0) { "team ${teamId.value} has no running request" }
        usage.runningRequests--
    }

    fun runningRequests(): Map<TeamId, Int> = usageByTeam.mapValues { it.value.runningRequests }

    private class Usage(
        var availablePermits: Double,
        var refilledAtMs: Long,
    ) {
        var runningRequests = 0

        fun refill(
            requestsPerSecond: Double,
            burst: Double,
            nowMs: Long,
        ) {
            availablePermits = (availablePermits + (nowMs - refilledAtMs) * requestsPerSecond / MS_PER_SECOND).coerceAtMost(burst)
            refilledAtMs = nowMs
        }
    }

    private companion object {
        private const val MS_PER_SECOND = 1_000.0
        private const val CONCURRENCY_RETRY_AFTER_MS = 1_000L
    }
}
