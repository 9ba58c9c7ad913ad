package org.lycheemount.config

import kotlinx.serialization.Serializable
import org.lycheemount.platform.TableRow

internal const val HEAD_KEY = "config/head"
internal const val ITEM_PREFIX = "config/item/"
internal const val CHANGE_PREFIX = "config/change/"
private const val CHANGE_ID_PREFIX = "config/change-id/"
private const val SEQUENCE_DIGITS = 19

/** Row that every change checks and writes, which puts all changes in a total order. */
@Serializable
internal data class HeadRow(
    val sequence: Long,
    val changeId: String,
)

/** Records an accepted change id and the hash of its content, so that a repeated request gets the outcome of the first one. */
@Serializable
internal data class ChangeIdRow(
    val sequence: Long,
    val contentHash: String,
)

internal fun itemRowKey(key: ItemKey): String = "$ITEM_PREFIX${key.kind.wireName}/${key.id}"

internal fun changeRowKey(sequence: Long): String = CHANGE_PREFIX + sequence.toString().padStart(SEQUENCE_DIGITS, '0')

internal fun changeIdRowKey(changeId: String): String = CHANGE_ID_PREFIX + changeId

internal fun TableRow.toHead(): HeadRow = rowJson.decodeFromString(HeadRow.serializer(), value)

internal fun TableRow.toChangeIdRow(): ChangeIdRow = rowJson.decodeFromString(ChangeIdRow.serializer(), value)

internal fun TableRow.toItem(): ConfigurationItem = rowJson.decodeFromString(ConfigurationItem.serializer(), value)

internal fun TableRow.toChange(): ConfigurationChange = rowJson.decodeFromString(ConfigurationChange.serializer(), value)
