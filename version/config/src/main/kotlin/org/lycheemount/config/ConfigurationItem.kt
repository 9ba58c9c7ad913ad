package org.lycheemount.config

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject

/**
 * One version of a configuration item.
 *
 * @property version sequence of the change that wrote it; grows over the item's whole life, deletions included.
 * @property body null once the item is deleted.
 */
@Serializable
data class ConfigurationItem(
    val key: ItemKey,
    val version: Long,
    val body: JsonObject? = null,
)
