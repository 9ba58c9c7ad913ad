package org.lycheemount.config

/** Outcome of a [ChangeRequest]. */
sealed interface ChangeOutcome {
    /** The change is durable; [sequence] is the new version of each item that it wrote. */
    data class Accepted(
        val sequence: Long,
    ) : ChangeOutcome

    /** Nothing was written, because the [current] versions differ from the expected ones. */
    data class Conflict(
        val current: Map<ItemKey, Long>,
    ) : ChangeOutcome

    /** Nothing was written, because of [errors]. */
    data class Invalid(
        val errors: List<FieldError>,
    ) : ChangeOutcome

    /** Nothing was written, because the table could not be reached. */
    data class Unavailable(
        val detail: String,
    ) : ChangeOutcome

    /** The table's response was lost. Repeating the request with the same change id resolves the outcome. */
    data class Unknown(
        val detail: String,
    ) : ChangeOutcome
}

/**
 * A field that failed validation.
 *
 * @property field path of the field within the request, such as `limits.queueShare`.
 * @property accepted description of the values that the field accepts.
 */
@kotlinx.serialization.Serializable
data class FieldError(
    val field: String,
    val accepted: String,
)
