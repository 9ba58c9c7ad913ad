package org.lycheemount.common

import kotlinx.serialization.Serializable

/**
 * Explains to a caller why a request has no answer.
 *
 * @property retryAfterMs delay after which a retry can succeed; null when a retry cannot help.
 */
@Serializable
data class Refusal(
    val reason: RefusalReason,
    val detail: String,
    val retryAfterMs: Long? = null,
)
