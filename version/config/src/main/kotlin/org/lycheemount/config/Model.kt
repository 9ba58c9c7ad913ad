package org.lycheemount.config

import kotlinx.serialization.Serializable
import org.lycheemount.common.ModelId
import org.lycheemount.common.WorkClassId

/**
 * A model that callers may request.
 *
 * @property version weights version to be loaded.
 * @property minimumCopies backend servers that must keep the model loaded in each region.
 * @property defaultWorkClassId class of requests that name none.
 */
@Serializable
data class Model(
    val modelId: ModelId,
    val version: String,
    val adapters: Set<String> = emptySet(),
    val maxOutputTokens: Int = 2048,
    val minimumCopies: Int = 1,
    val defaultWorkClassId: WorkClassId,
)
