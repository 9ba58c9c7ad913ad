package org.lycheemount.backend

import org.lycheemount.common.RequestId

/** A call to a plain service; [pathAndQuery] starts with a slash. */
class ServiceCall(
    val requestId: RequestId,
    val method: String,
    val pathAndQuery: String,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
    val timeoutMs: Long,
)

/** Outcome of one call to a plain service. */
sealed interface ServiceCallOutcome {
    /** The service returned a complete response. */
    class Response(
        val httpStatus: Int,
        val contentType: String?,
        val body: ByteArray,
    ) : ServiceCallOutcome

    /** No complete response was received. */
    data class Failed(
        val failure: AttemptFailure,
    ) : ServiceCallOutcome
}
