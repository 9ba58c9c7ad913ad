package org.lycheemount.common

/** Whether a request took effect at a backend server. Callers must distinguish all three cases. */
sealed interface RunOutcome<out T> {
    /** The request ran with the result [value]. */
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
