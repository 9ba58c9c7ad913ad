package org.lycheemount.standin.enginemodel

import org.lycheemount.common.ModelId
import org.lycheemount.common.RequestId

/**
 * A request as the engine sees it.
 *
 * @property prefixHashes chained hashes of the prompt's blocks from the start.
 * @property naturalTokens length of the whole answer if no limit cut it short.
 * @property maxOutputTokens limit on the whole answer, including the first [startAtToken] tokens.
 * @property priority lower values run first.
 * @property startAtToken output tokens that the caller already has; they are prefilled again but not repeated.
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

/** Answer to a submission. */
enum class EngineAdmission {
    ACCEPTED,
    QUEUE_FULL,
    LEAVING,
    MODEL_NOT_LOADED,
    DUPLICATE,
}
