package org.lycheemount.claims

import org.lycheemount.common.IdempotencyKey
import org.lycheemount.common.RequestId
import org.lycheemount.common.TeamId

/** Ensures that requests with the same idempotency key run at most once across all routers. */
interface ClaimRegistry {
    /**
     * Claims [key] of [teamId] for [requestId].
     *
     * @param requestFingerprint hash of method, path and body; reuse of a key for a different request is refused.
     */
    suspend fun claim(
        teamId: TeamId,
        key: IdempotencyKey,
        requestId: RequestId,
        requestFingerprint: String,
    ): ClaimOutcome

    /** Records the final [outcome] of the request that holds the claim. */
    suspend fun finish(
        teamId: TeamId,
        key: IdempotencyKey,
        requestId: RequestId,
        outcome: RecordedOutcome,
    )
}
