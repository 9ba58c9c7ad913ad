package org.lycheemount.scheduling

import org.lycheemount.common.BackendServerId

/**
 * A batch of prefix cache events of one model engine.
 *
 * @property hasGap true when events were lost before this batch, so that what is known of the cache may be wrong.
 */
data class CacheEvents(
    val backendServerId: BackendServerId,
    val storedPrefixHashes: List<Long>,
    val evictedPrefixHashes: List<Long>,
    val hasGap: Boolean,
)
