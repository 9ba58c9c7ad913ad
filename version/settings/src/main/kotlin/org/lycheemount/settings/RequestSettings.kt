package org.lycheemount.settings

import kotlinx.serialization.Serializable

/**
 * Bounds of single requests.
 *
 * @property maxBodyBytes greatest request body.
 * @property bodyTimeoutMs time in which a caller must have sent its body.
 * @property serviceTimeoutMs time for a call to a plain service when the caller states no deadline.
 * @property firstChunkTimeoutMs time from the start of an attempt to its first chunk, which includes the engine's queue.
 * @property chunkTimeoutMs silence between two chunks after which a stream counts as hung.
 * @property reservationStepTokens output tokens reserved at a time when the budget does not cover the worst case.
 * @property drainNoticeMs time between the failing readiness check and the refusal of new work at shutdown.
 */
@Serializable
data class RequestSettings(
    val maxBodyBytes: Int = 4_194_304,
    val bodyTimeoutMs: Long = 10_000,
    val serviceTimeoutMs: Long = 30_000,
    val firstChunkTimeoutMs: Long = 600_000,
    val chunkTimeoutMs: Long = 5_000,
    val reservationStepTokens: Int = 256,
    val drainNoticeMs: Long = 2_000,
)
