package org.lycheemount.caller.routed

import org.lycheemount.common.ServiceId

/**
 * Parameters of the retry budget of each service, shared by all routers.
 *
 * @property ratio retries allowed per request in a window, over all routers.
 * @property slack additional retries allowed in each window, over all routers.
 * @property windowMs length of the sliding window.
 */
data class RetryBudgetPolicy(
    val ratio: Double,
    val slack: Double,
    val windowMs: Long,
)

/**
 * This router's share of the retry budget of each service. Does no I/O; not thread-safe.
 *
 * [policy] may change at any time; earlier retries then count under the new policy.
 *
 * Routers do not coordinate their retries. Each router's share of the slack and of the ratio is small enough that the sum over all
 * routers stays within the budget in any window. This holds during network partitions, when routers join, and when all routers have
 * just restarted with empty counts.
 */
internal class RetryBudgetShare(
    var policy: RetryBudgetPolicy,
) {
    private val countsByService = HashMap<ServiceId, Counts>()

    /** Counts the first attempt of a request. */
    fun onRequest(
        serviceId: ServiceId,
        nowMs: Long,
    ) {
        countsOf(serviceId).requests.addLast(nowMs)
    }

    /** Consumes one retry; returns false when this router's share is exhausted. */
    fun tryRetry(
        serviceId: ServiceId,
        routers: Int,
        nowMs: Long,
    ): Boolean {
        val counts = countsOf(serviceId)
        counts.requests.removeBefore(nowMs - policy.windowMs / 2)
        counts.retries.removeBefore(nowMs - policy.windowMs)
        val slackShare = policy.slack * SLACK_FACTOR / maxOf(1, routers)
        // Only requests of the last half window count: they lie in the same window as the retry, wherever that window begins.
        val maxRetries = slackShare + counts.requests.size * policy.ratio * RATIO_FACTOR
        if (counts.retries.size + 1 > maxRetries) return false
        counts.retries.addLast(nowMs)
        return true
    }

    private fun countsOf(serviceId: ServiceId) = countsByService.getOrPut(serviceId) { Counts() }

    private class Counts {
        val requests = ArrayDeque<Long>()
        val retries = ArrayDeque<Long>()
    }

    private fun ArrayDeque<Long>.removeBefore(atMs: Long) {
        while (isNotEmpty() && first() < atMs) removeFirst()
    }

    private companion object {
        // A restart of all routers clears their counts, so one window may contain the slack twice; and joining routers are counted
        // late. A third leaves room for both.
        private const val SLACK_FACTOR = 0.33

        // Retries from before a restart still fall into the window.
        private const val RATIO_FACTOR = 0.5
    }
}
