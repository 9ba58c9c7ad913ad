package org.lycheemount.platform

/** Result of a call to the table service. */
sealed interface TableResult<out T> {
    /** The service responded with [value]. */
    data class Response<T>(
        val value: T,
    ) : TableResult<T>

    /** The call failed and had no effect. */
    data class Unavailable(
        val detail: String,
    ) : TableResult<Nothing>

    /** The call may have taken effect, because its response was lost or late. */
    data class Unknown(
        val detail: String,
    ) : TableResult<Nothing>
}
