package org.lycheemount.backend

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Response of `GET /v1/cache-events?after=N`; [hasGap] is true if events after N were lost. */
@Serializable
data class CacheEventPage(
    val lastSequence: Long,
    val storedPrefixHashes: List<Long>,
    val evictedPrefixHashes: List<Long>,
    @SerialName("gap")
    val hasGap: Boolean,
)
