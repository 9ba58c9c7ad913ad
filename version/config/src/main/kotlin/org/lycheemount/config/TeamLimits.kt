package org.lycheemount.config

import kotlinx.serialization.Serializable

/**
 * Limits of a team beside its budget, for each router.
 *
 * @property requestsPerSecond sustained rate; the burst is one second's worth.
 * @property queueShare greatest share of a router's queue, above 0 and at most 1.
 */
@Serializable
data class TeamLimits(
    val requestsPerSecond: Double = 100.0,
    val concurrentRequests: Int = 256,
    val queueShare: Double = 0.5,
)
