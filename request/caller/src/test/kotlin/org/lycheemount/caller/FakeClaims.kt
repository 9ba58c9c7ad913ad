package org.lycheemount.caller

import org.lycheemount.claims.ClaimOutcome
import org.lycheemount.claims.ClaimRegistry
import org.lycheemount.claims.RecordedOutcome
import org.lycheemount.common.IdempotencyKey
import org.lycheemount.common.RequestId
import org.lycheemount.common.TeamId
import java.util.concurrent.ConcurrentHashMap

/** In-memory claim registry. */
internal class FakeClaims : ClaimRegistry {
    private val holders = ConcurrentHashMap<IdempotencyKey, RequestId>()
    val outcomes = ConcurrentHashMap<IdempotencyKey, RecordedOutcome>()

    override suspend fun claim(
        teamId: TeamId,
        key: IdempotencyKey,
        requestId: RequestId,
        requestFingerprint: String,
    ): ClaimOutcome {
        outcomes[key]?.let { return ClaimOutcome.Finished(it) }
        val holder = holders.putIfAbsent(key, requestId) ?: return ClaimOutcome.Granted
        return outcomes[key]?.let { ClaimOutcome.Finished(it) } ?: ClaimOutcome.AlreadyRunning(holder)
    }

    override suspend fun finish(
        teamId: TeamId,
        key: IdempotencyKey,
        requestId: RequestId,
        outcome: RecordedOutcome,
    ) {
        if (outcome is RecordedOutcome.NotRun) holders.remove(key) else outcomes[key] = outcome
    }
}
