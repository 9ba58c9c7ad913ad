package org.lycheemount.backend

import org.lycheemount.common.RequestId

/**
 * A call to a plain service; [pathAndQuery] starts with a slash.
 *
 * @property maxResponseBytes maximum size of the body of the response.
 * @property reserveResponse reserves memory, in bytes, for a part of the response before it is kept; returns false if there is none.
 */
class ServiceCall(
    val requestId: RequestId,
    val method: String,
    val pathAndQuery: String,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
    val timeoutMs: Long,
    val maxResponseBytes: Int = Int.MAX_VALUE,
    val reserveResponse: (Long) -> Boolean = { true },
)

/** Outcome of one call to a plain service. */
sealed interface ServiceCallOutcome {
    /** The service returned a complete response. */
    class Response(
        val httpStatus: Int,
        val contentType: String?,
        val body: ByteArray,
    ) : ServiceCallOutcome

    /** The response is larger than permitted, or there is no memory for it. It was not read to its end. */
    data class TooLarge(
        val readBytes: Int,
    ) : ServiceCallOutcome

    /** No complete response was received. */
    data class Failed(
        val failure: AttemptFailure,
    ) : ServiceCallOutcome
}
