package org.lycheemount.scheduling

import org.lycheemount.common.BackendServerId

/**
 * A batch of prefix cache events of one model engine.
 *
 * @property hasGap true when events before this batch were lost, so that the known cache contents may be wrong.
 */
data class CacheEvents(
    val backendServerId: BackendServerId,
    val storedPrefixHashes: List<Long>,
    val evictedPrefixHashes: List<Long>,
    val hasGap: Boolean,
)
