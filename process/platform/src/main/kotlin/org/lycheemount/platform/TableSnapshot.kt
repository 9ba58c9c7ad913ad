package org.lycheemount.platform

import kotlinx.serialization.Serializable

/**
 * Rows read at one point in time.
 *
 * @property tableTimeMs table time of the read, in milliseconds.
 */
@Serializable
data class TableSnapshot(
    val rows: List<TableRow>,
    val tableTimeMs: Long,
) {
    /** Returns the row under [key], or null when it was absent. */
    fun find(key: String): TableRow? = rows.firstOrNull { it.key == key }
}
