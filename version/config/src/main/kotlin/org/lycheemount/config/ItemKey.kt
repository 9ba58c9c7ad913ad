package org.lycheemount.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Kinds of configuration items.
 *
 * @property wireName name in row keys, in paths of the administration API and on the command line.
 * @property idField field of the item's body that repeats its id.
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

    /** Finds kinds by their wire names. */
    companion object {
        /** Returns the kind named [wireName], or null when there is none. */
        fun find(wireName: String): ItemKind? = entries.find { it.wireName == wireName }
    }
}

/** Names one configuration item. */
@Serializable
data class ItemKey(
    val kind: ItemKind,
    val id: String,
) {
    override fun toString(): String = "${kind.wireName}/$id"
}
