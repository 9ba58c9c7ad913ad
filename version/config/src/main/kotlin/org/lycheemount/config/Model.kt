package org.lycheemount.config

import kotlinx.serialization.Serializable
import org.lycheemount.common.ModelId
import org.lycheemount.common.WorkClassId

/**
 * A model that callers may request.
 *
 * @property version version of the weights to load.
 * @property minimumCopies minimum number of backend servers in each region that keep the model loaded.
 * @property defaultWorkClassId work class of requests that do not specify one.
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
