package org.lycheemount.platform

/** Result of a call to the table service. */
sealed interface TableResult<out T> {
    /** The service answered. */
    data class Answered<T>(
        val value: T,
    ) : TableResult<T>

    /** The call certainly had no effect. */
    data class Unavailable(
        val detail: String,
    ) : TableResult<Nothing>

    /** The call may have taken effect, because its answer was lost or late. */
    data class Unknown(
        val detail: String,
    ) : TableResult<Nothing>
}
