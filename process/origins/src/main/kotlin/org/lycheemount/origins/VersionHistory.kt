package org.lycheemount.origins

import kotlinx.serialization.Serializable
import org.lycheemount.common.ServiceId
import org.lycheemount.common.SoftwareVersion

/**
 * Software versions of a service on which streams have begun lately or may begin now, as the table has them.
 *
 * @property incompleteUntilTableTimeMs table time until which streams may exist that began on a version that is missing here, because an
 * earlier history was unreadable or is lost.
 * @property storeEra era of the store in which this was written; null if the store stated none, or by a release without the field.
 */
@Serializable
internal data class VersionHistory(
    val serviceId: ServiceId,
    val uses: Map<SoftwareVersion, VersionUse> = emptyMap(),
    val incompleteUntilTableTimeMs: Long = 0,
    val storeEra: Long? = null,
) {
    /** Whether the service has had no versions. */
    val isEmpty: Boolean get() = uses.isEmpty() && incompleteUntilTableTimeMs == 0L

    /** Whether streams may begin on [version], at once or from a known time on. */
    fun isOpen(version: SoftwareVersion): Boolean = uses[version]?.let { it.closedAtTableTimeMs == null } ?: false

    /** Whether streams may begin on [version], but not yet at [tableTimeMs]. */
    fun isPending(
        version: SoftwareVersion,
        tableTimeMs: Long,
    ): Boolean = isOpen(version) && uses.getValue(version).beginsAtTableTimeMs > tableTimeMs

    /** Versions on which a stream that is resumed at [tableTimeMs] may have begun. */
    fun candidates(tableTimeMs: Long): Set<SoftwareVersion> =
        uses.filter { (version, use) -> use.isKept(tableTimeMs) && !isPending(version, tableTimeMs) }.keys

    /** Whether [candidates] has all versions on which streams may have begun. */
    fun isComplete(tableTimeMs: Long): Boolean = tableTimeMs >= incompleteUntilTableTimeMs

    /** Returns this history with [opened] open and [closed] closed at [tableTimeMs], without versions that are no candidates any more. */
    fun with(
        opened: Map<SoftwareVersion, VersionUse>,
        closed: Set<SoftwareVersion>,
        tableTimeMs: Long,
    ): VersionHistory {
        val current = uses.filterValues { it.isKept(tableTimeMs) }
        return copy(uses = current + closed.associateWith { VersionUse(closedAtTableTimeMs = tableTimeMs) } + opened)
    }

    /** Durations of the history. */
    companion object {
        /**
         * Time after the end of the use of a version, in milliseconds, in which streams that began on it may be resumed. Longer than any
         * stream together with its retries.
         */
        const val RETENTION_MS: Long = 120_000
    }
}

/**
 * Use of one version.
 *
 * @property beginsAtTableTimeMs table time from which streams may begin on it.
 * @property closedAtTableTimeMs table time of its end; null while it is open.
 */
@Serializable
internal data class VersionUse(
    val beginsAtTableTimeMs: Long = 0,
    val closedAtTableTimeMs: Long? = null,
) {
    /** Whether streams that began on the version may still be resumed at [tableTimeMs], or may begin. */
    fun isKept(tableTimeMs: Long): Boolean = closedAtTableTimeMs == null || tableTimeMs - closedAtTableTimeMs < VersionHistory.RETENTION_MS

    /** Whether [other] makes the version count for streams that are resumed as early as this does, and since then. */
    fun isCoveredBy(other: VersionUse?): Boolean =
        other != null &&
            (other.closedAtTableTimeMs != null || closedAtTableTimeMs != null || other.beginsAtTableTimeMs <= beginsAtTableTimeMs)
}
