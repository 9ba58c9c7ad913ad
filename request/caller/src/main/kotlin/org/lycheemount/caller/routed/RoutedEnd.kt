package org.lycheemount.caller.routed

import org.lycheemount.common.Refusal

/** How a routed request ended. */
internal sealed interface RoutedEnd {
    /** A server's answer was passed on, complete. */
    data class Answered(
        val httpStatus: Int,
    ) : RoutedEnd

    /** The request did not run. */
    data class NotRun(
        val refusal: Refusal,
    ) : RoutedEnd

    /** The request may have run, and the caller got no answer of a server. */
    data class Unknown(
        val refusal: Refusal,
    ) : RoutedEnd

    /** The answer broke off after its head was sent. */
    data class BrokenOff(
        val reason: String,
    ) : RoutedEnd
}
