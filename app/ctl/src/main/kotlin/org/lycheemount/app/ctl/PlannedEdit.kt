package org.lycheemount.app.ctl

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import org.lycheemount.config.ItemKey
import org.lycheemount.config.ItemKind

/** One edit on the way from the active configuration to that of a file. */
internal data class PlannedEdit(
    val key: ItemKey,
    val expectedVersion: Long,
    val before: JsonObject?,
    val after: JsonObject?,
) {
    val action: String
        get() =
            when {
                after == null -> "delete"
                before == null -> "create"
                else -> "update"
            }

    fun toJson() =
        buildJsonObject {
            put("kind", key.kind.wireName)
            put("id", key.id)
            put("expectedVersion", expectedVersion)
            put("body", after ?: JsonNull)
        }
}

/**
 * Compares [document] with [activeConfiguration], the response to `GET /items?deleted=true`. Teams without `keyHashes` in the file keep
 * their current keys. Items that the file does not list are deleted only with [prune].
 */
internal fun planEdits(
    document: ConfigurationDocument,
    activeConfiguration: JsonObject,
    prune: Boolean,
): List<PlannedEdit> {
    val current = (activeConfiguration["items"] as JsonArray).map { it as JsonObject }.associateBy { itemKeyOf(it) }
    val edits =
        document.items.mapNotNull { (key, body) ->
            val item = current[key]
            val before = item?.get("body") as? JsonObject
            val after = if (key.kind == ItemKind.TEAM) withCurrentKeys(before, body) else body
            if (before == after) null else PlannedEdit(key, item?.version() ?: 0, before, after)
        }
    if (!prune) return edits
    val unlisted = current.filter { (key, item) -> key !in document.items && item["body"] is JsonObject }
    // Items are deleted before the work classes that they refer to.
    val deletions = unlisted.map { (key, item) -> PlannedEdit(key, item.version(), item["body"] as JsonObject, after = null) }
    return edits + deletions.sortedByDescending { it.key.kind.ordinal }
}

private fun withCurrentKeys(
    before: JsonObject?,
    body: JsonObject,
): JsonObject {
    val hashes = before?.get("keyHashes")
    return if (hashes == null || "keyHashes" in body) body else JsonObject(body + ("keyHashes" to hashes))
}

private fun itemKeyOf(item: JsonObject) =
    ItemKey(ItemKind.find((item.getValue("kind") as JsonPrimitive).content)!!, (item.getValue("id") as JsonPrimitive).content)

private fun JsonObject.version(): Long = (getValue("version") as JsonPrimitive).long
