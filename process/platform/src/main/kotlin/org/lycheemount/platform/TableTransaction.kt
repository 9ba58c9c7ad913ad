package org.lycheemount.platform

import kotlinx.serialization.Serializable

/**
 * Checks and writes that are applied atomically.
 *
 * @property transactionId assigned by the client; a second commit with the same id returns the outcome of the first.
 */
@Serializable
data class TableTransaction(
    val transactionId: String,
    val checks: List<RowCheck>,
    val writes: List<RowWrite>,
)

/** Requires the row under [key] to have [expectedVersion]; 0 requires it to be absent. */
@Serializable
data class RowCheck(
    val key: String,
    val expectedVersion: Long,
)

/** Writes [value] under [key], or deletes the row when [value] is null. */
@Serializable
data class RowWrite(
    val key: String,
    val value: String?,
)
