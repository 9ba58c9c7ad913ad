package org.lycheemount.caller.routed

import org.lycheemount.common.Refusal

/** Outcome of a routed request. */
internal sealed interface RoutedOutcome {
    /** The complete response of a server was relayed. */
    data class Responded(
        val httpStatus: Int,
    ) : RoutedOutcome

    /** The request did not run. */
    data class NotRun(
        val refusal: Refusal,
    ) : RoutedOutcome

    /** The request may have run, but no response of a server was relayed. */
    data class Unknown(
        val refusal: Refusal,
    ) : RoutedOutcome

    /** The response was truncated after its head was sent. */
    data class Truncated(
        val reason: String,
    ) : RoutedOutcome
}
