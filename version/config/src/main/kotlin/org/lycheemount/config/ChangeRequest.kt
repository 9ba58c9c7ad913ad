package org.lycheemount.config

import kotlinx.serialization.json.JsonObject

/**
 * A change that is applied atomically.
 *
 * @property changeId idempotency key chosen by the operator; a repeated request with the same id and content returns the first outcome.
 */
data class ChangeRequest(
    val changeId: String,
    val operator: String,
    val edits: List<ItemEdit>,
)

/**
 * Writes or deletes one item.
 *
 * @property expectedVersion version that the item must have; 0 requires that the item has never existed.
 * @property body null deletes the item.
 */
data class ItemEdit(
    val key: ItemKey,
    val expectedVersion: Long,
    val body: JsonObject?,
)
