package org.lycheemount.scheduling

import org.lycheemount.common.Refusal

/** Outcome of a submission. */
sealed interface SubmitOutcome {
    /** The request waits in the queue. */
    data object Queued : SubmitOutcome

    /** The request was refused and did not run. */
    data class Refused(
        val refusal: Refusal,
    ) : SubmitOutcome
}
