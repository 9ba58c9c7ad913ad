package org.lycheemount.claims

import org.lycheemount.common.Refusal
import org.lycheemount.common.RequestId

/** Outcome of a claim. */
sealed interface ClaimOutcome {
    /** The request may run; no other request with the key may. */
    data object Granted : ClaimOutcome

    /** The request [holder] holds the claim and has not finished. */
    data class AlreadyRunning(
        val holder: RequestId,
    ) : ClaimOutcome

    /** An earlier request with the key has ended with [outcome]. */
    data class Finished(
        val outcome: RecordedOutcome,
    ) : ClaimOutcome

    /** The claim cannot be decided now; the request did not run. */
    data class Refused(
        val refusal: Refusal,
    ) : ClaimOutcome
}
