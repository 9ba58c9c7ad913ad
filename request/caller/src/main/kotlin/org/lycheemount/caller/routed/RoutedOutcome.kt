package org.lycheemount.caller.routed

import org.lycheemount.common.Refusal

/** How a routed request ended. */
internal sealed interface RoutedOutcome {
    /** A server's answer was passed on, complete. */
    data class Responded(
        val httpStatus: Int,
    ) : RoutedOutcome

    /** The request did not run. */
    data class NotRun(
        val refusal: Refusal,
    ) : RoutedOutcome

    /** The request may have run, and the caller got no answer of a server. */
    data class Unknown(
        val refusal: Refusal,
    ) : RoutedOutcome

    /** The answer broke off after its head was sent. */
    data class Truncated(
        val reason: String,
    ) : RoutedOutcome
}
