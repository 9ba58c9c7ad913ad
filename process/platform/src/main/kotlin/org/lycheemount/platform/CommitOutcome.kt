package org.lycheemount.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Outcome of a transaction that the table has decided. */
@Serializable
sealed interface CommitOutcome {
    /** All writes took effect. [versions] holds the new version of each written row by key. */
    @Serializable
    @SerialName("committed")
    data class Committed(
        val versions: Map<String, Long>,
        val tableTimeMs: Long,
    ) : CommitOutcome

    /** A check failed and nothing was written. [current] holds the rows that differ and omits absent ones. */
    @Serializable
    @SerialName("conflict")
    data class Conflict(
        val current: List<TableRow>,
        val tableTimeMs: Long,
    ) : CommitOutcome
}
