package org.lycheemount.claims

import org.lycheemount.common.RequestId

/** Claims in one central map without faults, as the reference for the fleet. */
internal class ReferenceClaims {
    private class Entry(
        val requestId: RequestId,
        val fingerprint: String,
        var outcome: RecordedOutcome? = null,
    )

    private val entriesByKey = HashMap<String, Entry>()

    fun claim(
        key: String,
        requestId: RequestId,
        fingerprint: String,
    ): String {
        val existing = entriesByKey[key]
        val outcome = existing?.outcome
        if (existing == null || outcome is RecordedOutcome.NotRun) {
            entriesByKey[key] = Entry(requestId, fingerprint)
            return "granted"
        }
        return when {
            existing.fingerprint != fingerprint -> "conflict"
            outcome == null -> "running ${existing.requestId.value}"
            else -> "finished ${describe(outcome)}"
        }
    }

    fun finish(
        key: String,
        requestId: RequestId,
        outcome: RecordedOutcome,
    ) {
        entriesByKey[key]?.takeIf { it.requestId == requestId && it.outcome == null }?.outcome = outcome
    }
}

internal fun describe(outcome: RecordedOutcome): String =
    when (outcome) {
        is RecordedOutcome.Ran -> "ran ${outcome.httpStatus} ${outcome.body.decodeToString()}"
        is RecordedOutcome.NotRun -> "not run"
        is RecordedOutcome.Unknown -> "unknown"
    }

internal fun describe(outcome: ClaimOutcome): String =
    when (outcome) {
        ClaimOutcome.Granted -> "granted"
        is ClaimOutcome.AlreadyRunning -> "running ${outcome.holder.value}"
        is ClaimOutcome.Finished -> "finished ${describe(outcome.outcome)}"
        is ClaimOutcome.Refused -> if (outcome.refusal.retryAfterMs == null) "conflict" else "refused"
    }
