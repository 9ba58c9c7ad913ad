package org.lycheemount.common

import kotlinx.serialization.Serializable

/**
 * Machine-readable reason of a refusal, as sent to callers.
 *
 * @property wireName value of the `reason` field.
 * @property httpStatus status code of the response.
 */
@Serializable
enum class RefusalReason(
    val wireName: String,
    val httpStatus: Int,
) {
    INVALID_REQUEST("invalid_request", 400),
    UNAUTHENTICATED("unauthenticated", 401),
    FORBIDDEN("forbidden", 403),
    UNKNOWN_MODEL("unknown_model", 404),
    UNKNOWN_SERVICE("unknown_service", 404),
    UNKNOWN_REQUEST("unknown_request", 404),
    REQUEST_TIMEOUT("request_timeout", 408),
    IDEMPOTENCY_CONFLICT("idempotency_conflict", 409),
    REQUEST_TOO_LARGE("request_too_large", 413),
    BUDGET_EXHAUSTED("budget_exhausted", 429),
    BUDGET_UNAVAILABLE("budget_unavailable", 503),
    RATE_LIMITED("rate_limited", 429),
    CONCURRENCY_LIMITED("concurrency_limited", 429),
    QUEUE_SHARE_EXCEEDED("queue_share_exceeded", 429),
    TARGET_UNREACHABLE("target_unreachable", 503),
    DEADLINE_PAST("deadline_past", 503),
    NO_BACKEND_SERVER("no_backend_server", 503),
    ZONES_EVACUATED("zones_evacuated", 503),
    STREAM_ORIGIN_UNKNOWN("stream_origin_unknown", 503),
    BACKEND_FAILED("backend_failed", 502),
    BACKEND_TIMEOUT("backend_timeout", 504),
    DRAINING("draining", 503),
    OVERLOADED("overloaded", 503),
    MEMORY_EXHAUSTED("memory_exhausted", 503),
    NOT_READY("not_ready", 503),
    CLAIM_UNAVAILABLE("claim_unavailable", 503),
    PROMPT_QUARANTINED("prompt_quarantined", 503),
    PEER_UNREACHABLE("peer_unreachable", 503),
    CALLER_GONE("caller_gone", 499),
}
