package org.lycheemount.caller

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import org.lycheemount.claims.RecordedOutcome
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.RequestId

internal const val OUTCOME_HEADER = "x-lycheemount-outcome"
internal const val REQUEST_ID_HEADER = "x-lycheemount-request-id"

internal suspend fun ApplicationCall.refuse(
    refusal: Refusal,
    outcome: WireOutcome = WireOutcome.NOT_RUN,
) {
    response.header(OUTCOME_HEADER, outcome.wireName)
    refusal.retryAfterMs?.let { response.header(HttpHeaders.RetryAfter, retryAfterSeconds(it)) }
    // The rest of a refused body is not read, so the connection cannot be reused.
    if (refusal.reason in CLOSING_REASONS) response.header(HttpHeaders.Connection, "close")
    respondText(errorBody(refusal, outcome), ContentType.Application.Json, HttpStatusCode.fromValue(refusal.reason.httpStatus))
}

internal suspend fun ApplicationCall.replay(outcome: RecordedOutcome.Ran) {
    response.header(OUTCOME_HEADER, WireOutcome.RAN.wireName)
    respondBytes(outcome.body, outcome.contentType?.let(ContentType::parse), HttpStatusCode.fromValue(outcome.httpStatus))
}

internal fun ApplicationCall.addRequestIdHeader(requestId: RequestId) = response.header(REQUEST_ID_HEADER, requestId.value)

private fun retryAfterSeconds(ms: Long): String = ((ms + MS_PER_SECOND - 1) / MS_PER_SECOND).coerceAtLeast(1).toString()

private val CLOSING_REASONS = setOf(RefusalReason.REQUEST_TOO_LARGE, RefusalReason.REQUEST_TIMEOUT, RefusalReason.MEMORY_EXHAUSTED)
private const val MS_PER_SECOND = 1_000L
