package org.lycheemount.backend

import kotlinx.serialization.Serializable

/** Answer of `GET /v1/cache-events?after=N`; [gap] says that events after N were lost. */
@Serializable
data class CacheEventPage(
    val lastSequence: Long,
    val storedPrefixHashes: List<Long>,
    val evictedPrefixHashes: List<Long>,
    val gap: Boolean,
)
