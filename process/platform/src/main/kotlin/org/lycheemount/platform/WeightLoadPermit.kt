package org.lycheemount.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Response of the weight store to a request to load weights. */
@Serializable
sealed interface WeightLoadPermit {
    /** The load may start now. */
    @Serializable
    @SerialName("granted")
    data object Granted : WeightLoadPermit

    /** The rate limit is reached; retry after [retryAfterMs]. */
    @Serializable
    @SerialName("rate_limited")
    data class RateLimited(
        val retryAfterMs: Long,
    ) : WeightLoadPermit
}
