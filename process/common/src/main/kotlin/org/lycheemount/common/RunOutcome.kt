package org.lycheemount.common

/** Says whether a request took effect at a backend server. The three cases are never folded into two. */
sealed interface RunOutcome<out T> {
    /** The request ran and [value] is its result. */
    data class Ran<T>(
        val value: T,
    ) : RunOutcome<T>

    /** The request certainly did not run. */
    data class NotRun(
        val refusal: Refusal,
    ) : RunOutcome<Nothing>

    /** The request may have run. */
    data class Unknown(
        val refusal: Refusal,
    ) : RunOutcome<Nothing>
}
