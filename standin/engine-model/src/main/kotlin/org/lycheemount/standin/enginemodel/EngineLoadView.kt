package org.lycheemount.standin.enginemodel

import org.lycheemount.common.ModelId

/**
 * Load published by the engine. The request counts were sampled [ageUs] ago; the rest is current.
 *
 * @property loadedModels version of each loaded model.
 */
data class EngineLoadView(
    val ageUs: Long,
    val runningRequests: Int,
    val queuedRequests: Int,
    val capacity: Int,
    val leaving: Boolean,
    val loadedModels: Map<ModelId, String>,
    val highestFencingToken: Long,
)

/** Outcome of a cancellation; [generatedTokens] counts from the start of the whole completion. */
data class EngineCancellation(
    val found: Boolean,
    val generatedTokens: Int,
)
