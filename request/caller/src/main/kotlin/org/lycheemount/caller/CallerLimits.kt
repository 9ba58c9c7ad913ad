package org.lycheemount.caller

import org.lycheemount.stream.StreamTimeouts

/**
 * Limits that apply to each request.
 *
 * @property maxBodyBytes maximum size of a request body; larger ones are refused.
 * @property bodyTimeoutMs timeout for receiving the request body.
 * @property serviceTimeoutMs timeout of a call to a plain service without a deadline.
 * @property reservationStepTokens output tokens reserved per step when the budget does not cover the maximum output.
 * @property streamTimeouts timeouts of completion streams.
 * @property maxResponseBytes maximum size of the response of a plain service; a larger one is replaced by an error.
 */
data class CallerLimits(
    val maxBodyBytes: Int = 4 * 1024 * 1024,
    val bodyTimeoutMs: Long = 10_000,
    val serviceTimeoutMs: Long = 30_000,
    val reservationStepTokens: Int = 256,
    val streamTimeouts: StreamTimeouts = StreamTimeouts(),
    val maxResponseBytes: Int = 16 * 1024 * 1024,
)
