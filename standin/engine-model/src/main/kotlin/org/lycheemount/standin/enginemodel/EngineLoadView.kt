package org.lycheemount.standin.enginemodel

import org.lycheemount.common.ModelId

/**
 * Load as the engine publishes it: the counts are as old as [ageUs], the rest is current.
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

/** Outcome of a cancellation; [generatedTokens] counts from the start of the whole answer. */
data class EngineCancellation(
    val found: Boolean,
    val generatedTokens: Int,
)
