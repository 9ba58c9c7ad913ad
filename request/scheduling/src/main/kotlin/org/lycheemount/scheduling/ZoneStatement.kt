package org.lycheemount.scheduling

import org.lycheemount.common.ZoneId

/**
 * Whether the operator has an availability zone evacuated. A statement replaces those of earlier eras of the store, and those of the same
 * era with lower versions.
 *
 * @property version version of the store's row, of its removal, or of the read that showed its absence.
 * @property asOfMs monotonic time of this router at which the first router learned it.
 * @property era era of the store; null if the store, or the router that has told the statement, states none.
 */
data class ZoneStatement(
    val zoneId: ZoneId,
    val isEvacuated: Boolean,
    val version: Long,
    val asOfMs: Long,
    val era: Long? = null,
) {
    /** Whether this replaces [other]. */
    fun isNewerThan(other: ZoneStatement): Boolean = BY_AGE.compare(this, other) > 0

    /** Whether this is newer than a read of the store as of [readVersion] in [readEra]. */
    internal fun isNewerThan(
        readEra: Long?,
        readVersion: Long,
    ): Boolean = isNewerThan(copy(version = readVersion, era = readEra))

    internal companion object {
        /** Orders statements from the oldest to the newest. */
        val BY_AGE: Comparator<ZoneStatement> = compareBy({ it.era ?: 0L }, { it.version })
    }
}
