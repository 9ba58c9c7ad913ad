package org.lycheemount.caller

import org.lycheemount.stream.StreamTimeouts

/**
 * Bounds of single requests.
 *
 * @property maxBodyBytes greatest request body; larger ones are refused.
 * @property bodyTimeoutMs time in which a caller must have sent its body.
 * @property serviceTimeoutMs time for a call to a plain service when the caller states no deadline.
 * @property reservationStepTokens output tokens reserved at a time when the budget does not cover the worst case.
 */
data class CallerLimits(
    val maxBodyBytes: Int = 4 * 1024 * 1024,
    val bodyTimeoutMs: Long = 10_000,
    val serviceTimeoutMs: Long = 30_000,
    val reservationStepTokens: Int = 256,
    val streamTimeouts: StreamTimeouts = StreamTimeouts(),
)
