package org.lycheemount.common

import kotlinx.serialization.Serializable

/**
 * Tells a caller why its request was refused or failed.
 *
 * @property retryAfterMs delay in milliseconds after which a retry may succeed; null when a retry cannot succeed.
 */
@Serializable
data class Refusal(
    val reason: RefusalReason,
    val detail: String,
    val retryAfterMs: Long? = null,
)
