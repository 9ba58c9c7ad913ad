package org.lycheemount.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Kinds of configuration items.
 *
 * @property wireName name in row keys, in paths of the administration API and on the command line.
 * @property idField field of the item's body that contains its id.
 */
@Serializable
enum class ItemKind(
    val wireName: String,
    val idField: String,
) {
    @SerialName("team")
    TEAM("team", "teamId"),

    @SerialName("class")
    WORK_CLASS("class", "workClassId"),

    @SerialName("model")
    MODEL("model", "modelId"),

    @SerialName("service")
    SERVICE("service", "serviceId"),
    ;

    /** Looks up kinds by wire name. */
    companion object {
        /** Returns the kind named [wireName], or null if there is none. */
        fun find(wireName: String): ItemKind? = entries.find { it.wireName == wireName }
    }
}

/** Identifies a configuration item. */
@Serializable
data class ItemKey(
    val kind: ItemKind,
    val id: String,
) {
    override fun toString(): String = "${kind.wireName}/$id"
}
