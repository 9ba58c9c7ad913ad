package org.lycheemount.caller

import kotlinx.coroutines.delay
import org.lycheemount.claims.ClaimOutcome
import org.lycheemount.claims.ClaimRegistry
import org.lycheemount.claims.RecordedOutcome
import org.lycheemount.common.Clock
import org.lycheemount.common.IdempotencyKey
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.RequestId
import org.lycheemount.common.TeamId
import java.security.MessageDigest
import java.util.HexFormat

/** Claims idempotency keys and waits for the outcome of an earlier request with the same key. */
internal class IdempotencyClaimer(
    private val claims: ClaimRegistry,
    private val clock: Clock,
) {
    suspend fun claim(
        teamId: TeamId,
        key: IdempotencyKey,
        requestId: RequestId,
        fingerprint: String,
        deadlineAtMs: Long?,
    ): ClaimDecision {
        val waitUntilMs = minOf(deadlineAtMs ?: Long.MAX_VALUE, clock.monotonicMs() + MAX_WAIT_MS)
        var backoffMs = INITIAL_BACKOFF_MS
        while (true) {
            when (val outcome = claims.claim(teamId, key, requestId, fingerprint)) {
                ClaimOutcome.Granted -> return ClaimDecision.Run
                is ClaimOutcome.Finished -> return decisionFor(outcome.outcome)
                is ClaimOutcome.Refused -> return ClaimDecision.Refuse(outcome.refusal, WireOutcome.NOT_RUN)
                is ClaimOutcome.AlreadyRunning -> if (clock.monotonicMs() + backoffMs > waitUntilMs) return stillRunning(outcome.holder)
            }
            delay(backoffMs)
            backoffMs = (backoffMs * 2).coerceAtMost(MAX_BACKOFF_MS)
        }
    }

    private fun decisionFor(outcome: RecordedOutcome): ClaimDecision =
        when (outcome) {
            is RecordedOutcome.Ran -> ClaimDecision.Replay(outcome)
            is RecordedOutcome.NotRun -> ClaimDecision.Refuse(outcome.refusal, WireOutcome.NOT_RUN)
            is RecordedOutcome.Unknown -> ClaimDecision.Refuse(outcome.refusal, WireOutcome.UNKNOWN)
        }

    private fun stillRunning(holder: RequestId): ClaimDecision {
        val detail = "request ${holder.value} with this idempotency key is still in progress"
        return ClaimDecision.Refuse(Refusal(RefusalReason.IDEMPOTENCY_CONFLICT, detail, MAX_BACKOFF_MS), WireOutcome.UNKNOWN)
    }

    private companion object {
        private const val INITIAL_BACKOFF_MS = 50L
        private const val MAX_BACKOFF_MS = 1_000L

        // Longer than most completions, shorter than the idle timeout of common HTTP clients.
        private const val MAX_WAIT_MS = 30_000L
    }
}

/** Decision on a request with an idempotency key. */
internal sealed interface ClaimDecision {
    data object Run : ClaimDecision

    class Replay(
        val outcome: RecordedOutcome.Ran,
    ) : ClaimDecision

    class Refuse(
        val refusal: Refusal,
        val outcome: WireOutcome,
    ) : ClaimDecision
}

/** Fingerprint of method, path and body, by which a retry is recognised as the same request. */
internal fun requestFingerprint(
    method: String,
    pathAndQuery: String,
    body: ByteArray,
): String {
    val digest = MessageDigest.getInstance("SHA-256")
    digest.update("$method $pathAndQuery\n".encodeToByteArray())
    return HexFormat.of().formatHex(digest.digest(body))
}
