package org.lycheemount.budget

import org.lycheemount.common.Refusal

/** Outcome of a reservation or of its extension. */
sealed interface ReservationOutcome {
    /** The request may use up to [reservedTokens] in total. */
    data class Reserved(
        val reservedTokens: Long,
    ) : ReservationOutcome

    /** The grants of this router do not cover the request. */
    data class Refused(
        val refusal: Refusal,
    ) : ReservationOutcome
}
