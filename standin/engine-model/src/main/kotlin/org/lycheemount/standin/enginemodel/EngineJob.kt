package org.lycheemount.standin.enginemodel

import org.lycheemount.common.ModelId
import org.lycheemount.common.RequestId

/**
 * Request submitted to the engine.
 *
 * @property prefixHashes chained hashes of the prompt's blocks from the start.
 * @property naturalTokens length of the whole completion without an output limit.
 * @property maxOutputTokens limit on the whole completion, including the first [startAtToken] tokens.
 * @property priority lower values run first.
 * @property startAtToken number of output tokens that the caller already has. They are prefilled but not sent again.
 */
data class EngineJob(
    val requestId: RequestId,
    val modelId: ModelId,
    val promptTokens: Int,
    val prefixHashes: List<Long>,
    val naturalTokens: Int,
    val maxOutputTokens: Int,
    val priority: Int = 0,
    val startAtToken: Int = 0,
)

/** Outcome of a submission. */
enum class EngineAdmission {
    ACCEPTED,
    QUEUE_FULL,
    LEAVING,
    MODEL_NOT_LOADED,
    DUPLICATE,
}
