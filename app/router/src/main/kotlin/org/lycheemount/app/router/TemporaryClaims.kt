package org.lycheemount.app.router

import org.lycheemount.claims.ClaimOutcome
import org.lycheemount.claims.ClaimRegistry
import org.lycheemount.claims.RecordedOutcome
import org.lycheemount.common.IdempotencyKey
import org.lycheemount.common.RequestId
import org.lycheemount.common.TeamId
import java.util.concurrent.ConcurrentHashMap

/** Claims within this router only, until process/claims delivers its own. */
internal class TemporaryClaims : ClaimRegistry {
    private val holders = ConcurrentHashMap<Pair<TeamId, IdempotencyKey>, RequestId>()
    private val outcomes = ConcurrentHashMap<Pair<TeamId, IdempotencyKey>, RecordedOutcome>()

    override suspend fun claim(
        teamId: TeamId,
        key: IdempotencyKey,
        requestId: RequestId,
        requestFingerprint: String,
    ): ClaimOutcome {
        outcomes[teamId to key]?.let { return ClaimOutcome.Finished(it) }
        val holder = holders.putIfAbsent(teamId to key, requestId) ?: return ClaimOutcome.Granted
        return ClaimOutcome.AlreadyRunning(holder)
    }

    override suspend fun finish(
        teamId: TeamId,
        key: IdempotencyKey,
        requestId: RequestId,
        outcome: RecordedOutcome,
    ) {
        if (outcome is RecordedOutcome.NotRun) holders.remove(teamId to key) else outcomes[teamId to key] = outcome
    }
}
