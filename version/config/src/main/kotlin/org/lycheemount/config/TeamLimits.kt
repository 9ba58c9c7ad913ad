package org.lycheemount.config

import kotlinx.serialization.Serializable

/**
 * Limits of a team on each router, in addition to its budget.
 *
 * @property requestsPerSecond sustained rate; the burst size is one second of this rate.
 * @property queueShare maximum share of a router's queue, above 0 and at most 1.
 */
@Serializable
data class TeamLimits(
    val requestsPerSecond: Double = 100.0,
    val concurrentRequests: Int = 256,
    val queueShare: Double = 0.5,
) {
    /** Limits that are not configured. */
    companion object {
        /** For teams that no configuration limits. */
        val UNLIMITED = TeamLimits(requestsPerSecond = Double.MAX_VALUE, concurrentRequests = Int.MAX_VALUE, queueShare = 1.0)
    }
}
