package org.lycheemount.claims

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.lycheemount.common.Refusal

/** The final outcome of a claimed request, as repeated to retries. */
@Serializable
sealed interface RecordedOutcome {
    /** The request ran and answered. */
    @Serializable
    @SerialName("ran")
    class Ran(
        val httpStatus: Int,
        val contentType: String?,
        val body: ByteArray,
    ) : RecordedOutcome

    /** The request certainly did not run; the claim is free again. */
    @Serializable
    @SerialName("not_run")
    data class NotRun(
        val refusal: Refusal,
    ) : RecordedOutcome

    /** The request may have run. A retry is refused as unknown. */
    @Serializable
    @SerialName("unknown")
    data class Unknown(
        val refusal: Refusal,
    ) : RecordedOutcome
}
