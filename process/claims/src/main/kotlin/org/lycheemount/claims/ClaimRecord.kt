package org.lycheemount.claims

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.lycheemount.common.IdempotencyKey
import org.lycheemount.common.RequestId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.TeamId

/** An idempotency key with its team. */
@Serializable
internal data class ClaimKey(
    val teamId: TeamId,
    val key: IdempotencyKey,
)

/** A request that claims a key, from the router [holder]. */
@Serializable
internal data class ClaimRequest(
    val key: ClaimKey,
    val requestId: RequestId,
    val fingerprint: String,
    val holder: RouterIdentity,
)

/**
 * What is known of a key.
 *
 * @property epoch with [sequence] the order of the record's states: only the primary of an epoch makes new ones.
 * @property changedAtMs wall-clock time of the last change, from which the lifetime counts.
 * @property outcome null while the request runs.
 */
@Serializable
internal data class ClaimRecord(
    val request: ClaimRequest,
    val epoch: Long,
    val sequence: Long,
    @SerialName("atMs") val changedAtMs: Long,
    val outcome: RecordedOutcome? = null,
) {
    fun isNewerThan(other: ClaimRecord): Boolean = compareValuesBy(this, other, { it.epoch }, { it.sequence }) > 0
}
