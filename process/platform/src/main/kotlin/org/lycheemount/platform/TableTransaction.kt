package org.lycheemount.platform

import kotlinx.serialization.Serializable

/**
 * A set of checks and writes that takes effect as a whole or not at all.
 *
 * @property transactionId chosen by the client beforehand; a second commit with the same id returns the first outcome.
 */
@Serializable
data class TableTransaction(
    val transactionId: String,
    val checks: List<RowCheck>,
    val writes: List<RowWrite>,
)

/** Requires that the row under [key] has [expectedVersion]; 0 requires that it is absent. */
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
