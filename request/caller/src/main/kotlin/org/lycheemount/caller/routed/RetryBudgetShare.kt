package org.lycheemount.caller.routed

import org.lycheemount.common.ServiceId

/**
 * Terms of the retry budget that all routers share for each service.
 *
 * @property ratio retries allowed for each request of a window, over all routers.
 * @property slack retries allowed in each window beside that, over all routers.
 */
data class RetryBudgetPolicy(
    val ratio: Double,
    val slack: Double,
    val windowMs: Long,
)

/**
 * This router's part of the retry budget of each service. Pure; not thread-safe.
 *
 * [policy] may change at any time; retries made so far count by the new ones.
 *
 * The routers do not talk about it, so each one takes its part of the slack and of the ratio such that the sum of all parts
 * holds in any window: also when routers are cut off from one another, when further ones join, and when all of them have
 * just started with empty counts.
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

    /** Takes one retry if this router's part of the budget has it. */
    fun tryRetry(
        serviceId: ServiceId,
        routers: Int,
        nowMs: Long,
    ): Boolean {
        val counts = countsOf(serviceId)
        counts.requests.removeBefore(nowMs - policy.windowMs / 2)
        counts.retries.removeBefore(nowMs - policy.windowMs)
        val slackShare = policy.slack * SLACK_FACTOR / maxOf(1, routers)
        // Requests of half a window are in the window that the retry falls into, wherever that begins.
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
        // A restart of all routers empties their counts, so that two lots of slack may fall into one window; joining routers
        // are counted late. A third leaves room for both.
        private const val SLACK_FACTOR = 0.33

        // After a restart the retries of the run before still count in the window.
        private const val RATIO_FACTOR = 0.5
    }
}
