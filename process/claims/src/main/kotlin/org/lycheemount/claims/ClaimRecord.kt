package org.lycheemount.claims

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.lycheemount.common.IdempotencyKey
import org.lycheemount.common.RequestId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.TeamId

/** Idempotency key of a team. */
@Serializable
internal data class ClaimKey(
    val teamId: TeamId,
    val key: IdempotencyKey,
)

/**
 * A request that claims a key.
 *
 * @property fingerprint hash of method, path and body; empty where only the outcome is reported.
 * @property holder router that runs the request.
 */
@Serializable
internal data class ClaimRequest(
    val key: ClaimKey,
    val requestId: RequestId,
    val fingerprint: String,
    val holder: RouterIdentity,
)

/**
 * State of a key.
 *
 * @property epoch epoch of the primary that wrote the record. Records of a key are ordered by epoch, then by [sequence].
 * @property changedAtMs wall-clock time of the last change, at which the outcome lifetime starts.
 * @property outcome null while the request is running.
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
