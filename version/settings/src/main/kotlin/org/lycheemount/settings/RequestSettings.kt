package org.lycheemount.settings

import kotlinx.serialization.Serializable

/**
 * Limits that apply to each request.
 *
 * @property maxBodyBytes maximum size of a request body.
 * @property bodyTimeoutMs maximum time for a caller to send the request body.
 * @property serviceTimeoutMs timeout of a call to a plain service if the caller sets no deadline.
 * @property firstChunkTimeoutMs maximum time from the start of an attempt to its first chunk, including time in the engine's queue.
 * @property chunkTimeoutMs maximum time between two chunks before a stream is considered hung.
 * @property reservationStepTokens output tokens reserved at a time if the budget does not cover the worst case.
 * @property drainNoticeMs time at shutdown between the failure of the readiness check and the rejection of new requests.
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
