package org.lycheemount.config

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject

/**
 * One version of a configuration item.
 *
 * @property version sequence of the change that wrote this version; it increases with each change of the item, including deletions.
 * @property body null if the item has been deleted.
 */
@Serializable
data class ConfigurationItem(
    val key: ItemKey,
    val version: Long,
    val body: JsonObject? = null,
)
