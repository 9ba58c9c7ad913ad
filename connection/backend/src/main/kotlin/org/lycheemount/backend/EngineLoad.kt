package org.lycheemount.backend

import kotlinx.serialization.Serializable
import org.lycheemount.common.ModelId

/** Response of `GET /v1/load`; [ageMs] is the age of the values when they were sent. */
@Serializable
data class EngineLoad(
    val ageMs: Long,
    val runningRequests: Int,
    val queuedRequests: Int,
    val capacity: Int,
    val leaving: Boolean = false,
    val loadedModels: Map<ModelId, String> = emptyMap(),
    val fencingToken: Long = 0,
)
