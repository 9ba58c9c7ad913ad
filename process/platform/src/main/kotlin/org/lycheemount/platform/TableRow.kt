package org.lycheemount.platform

import kotlinx.serialization.Serializable

/**
 * One row of the table.
 *
 * @property version increased by the table on each write of the row; 0 denotes an absent row.
 */
@Serializable
data class TableRow(
    val key: String,
    val value: String,
    val version: Long,
)
