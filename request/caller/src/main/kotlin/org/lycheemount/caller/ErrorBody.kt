package org.lycheemount.caller

import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import org.lycheemount.common.Refusal

/** Whether a request ran, as sent in the header `x-lycheemount-outcome` and in error bodies. */
internal enum class WireOutcome(
    val wireName: String,
) {
    RAN("ran"),
    NOT_RUN("not-run"),
    UNKNOWN("unknown"),
}

/** Renders [refusal] in OpenAI's error format, extended by a machine-readable reason and [outcome]. */
internal fun errorBody(
    refusal: Refusal,
    outcome: WireOutcome,
): String =
    buildJsonObject {
        putJsonObject("error") {
            put("message", refusal.detail)
            put("type", errorType(refusal.reason.httpStatus))
            put("param", JsonNull)
            put("code", refusal.reason.wireName)
            put("reason", refusal.reason.wireName)
            put("outcome", outcome.wireName)
            refusal.retryAfterMs?.let { put("retry_after_ms", it) }
        }
    }.toString()

private fun errorType(httpStatus: Int): String =
    when (httpStatus) {
        401 -> "authentication_error"
        403 -> "permission_error"
        429 -> "rate_limit_error"
        in 400..499 -> "invalid_request_error"
        else -> "server_error"
    }
