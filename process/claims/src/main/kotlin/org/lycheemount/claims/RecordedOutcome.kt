package org.lycheemount.claims

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.lycheemount.common.Refusal

/** Final outcome of a claimed request, which retries receive again. */
@Serializable
sealed interface RecordedOutcome {
    /** The request ran and returned a response. */
    @Serializable
    @SerialName("ran")
    class Ran(
        val httpStatus: Int,
        val contentType: String?,
        val body: ByteArray,
    ) : RecordedOutcome

    /** The request definitely did not run; the key is free again. */
    @Serializable
    @SerialName("not_run")
    data class NotRun(
        val refusal: Refusal,
    ) : RecordedOutcome

    /** The request may have run; retries are refused. */
    @Serializable
    @SerialName("unknown")
    data class Unknown(
        val refusal: Refusal,
    ) : RecordedOutcome
}
