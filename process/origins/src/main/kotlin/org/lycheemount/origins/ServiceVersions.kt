package org.lycheemount.origins

import org.lycheemount.common.ServiceId
import org.lycheemount.common.SoftwareVersion

/**
 * What one router knows of the versions of [serviceId], from the list of servers and from the table, and what it has to write. Does no
 * I/O; not thread-safe.
 *
 * Streams begin on a version only after this router has seen in the table that the version is open, and only while a server of it is
 * listed. If there is another version to begin on, they begin [BEGIN_DELAY_MS] after a version was opened. Until then, the origins of
 * streams are as clear as before, and routers record those that began earlier. A version without listed servers is closed after
 * [closeAfterMs].
 *
 * After the store has come back from an older copy, what this router had seen there still counts, and is written again. Until streams of
 * that time can no longer be resumed, only records tell on which version one began: another router may have opened a version and ended.
 *
 * @param storeEra era of the store; null if that states none.
 */
internal class ServiceVersions(
    private val serviceId: ServiceId,
    private val closeAfterMs: Long,
    private val storeEra: () -> Long? = { null },
) {
    private val listed = HashSet<SoftwareVersion>()

    /** Versions of which a listed server is not about to leave. */
    private val accepting = HashSet<SoftwareVersion>()

    /** Monotonic time since when versions have had no listed server. */
    private val unlistedSinceMs = HashMap<SoftwareVersion, Long>()
    private val confirmed = HashSet<SoftwareVersion>()
    private var history: VersionHistory? = null
    private var rowVersion = 0L
    private var readAtMs = 0L
    private var hasList = false

    /** What the table had before the store came back, until it has that again. */
    private var lostUses = emptyMap<SoftwareVersion, VersionUse>()

    /** Table time until which streams may be resumed whose versions the store may have lost while this router ran. */
    private var lossEndsAtTableTimeMs = 0L
    private var isReadDue = false

    /** Whether [history] has what the row lacks, or the row was written in an earlier era. */
    private var isWriteDue = false

    /** Versions on which streams may begin at [tableTimeMs]; null if any may be used, because no server states one. */
    fun usable(tableTimeMs: Long): Set<SoftwareVersion>? =
        if (isUnversioned) null else confirmed.filterTo(HashSet()) { history?.isPending(it, tableTimeMs) == false }

    /** Whether no version of the service is known, so that its streams go on at any server. */
    val isUnversioned: Boolean
        get() = (history?.isEmpty ?: false) && listed.isNotEmpty() && (listed + unlistedSinceMs.keys).all { it == UNSTATED }

    /** Versions that the table has as open. */
    val open: Set<SoftwareVersion>
        get() =
            history
                ?.uses
                ?.keys
                .orEmpty()
                .filterTo(HashSet()) { history?.isOpen(it) ?: false }

    /** The servers that are listed from [nowMs] on have these [versions]. Those of the [acceptingVersions] are not about to leave. */
    fun onListed(
        versions: Set<SoftwareVersion>,
        acceptingVersions: Set<SoftwareVersion>,
        nowMs: Long,
    ) {
        hasList = true
        for (version in listed - versions) unlistedSinceMs[version] = nowMs
        unlistedSinceMs.keys -= versions
        unlistedSinceMs.values.removeIf { nowMs - it >= VersionHistory.RETENTION_MS }
        listed.clear()
        listed += versions
        accepting.clear()
        accepting += acceptingVersions
        confirmed.retainAll(versions)
        noteUnlisted(nowMs)
        if (nowMs - readAtMs < MAX_READ_AGE_MS) confirmOpen()
    }

    /**
     * The table had [current] under [version] when it was read or written by a call that began at monotonic time [calledAtMs]; null
     * means that the row is unreadable.
     */
    fun onHistory(
        current: VersionHistory?,
        version: Long,
        tableTimeMs: Long,
        calledAtMs: Long,
        nowMs: Long,
    ) {
        // Calls overlap, so the response of one may be older than what another has brought.
        if (history != null && !isReadDue && version < rowVersion && calledAtMs < readAtMs) return
        val row = current ?: VersionHistory(serviceId, incompleteUntilTableTimeMs = tableTimeMs + VersionHistory.RETENTION_MS)
        history = withLostUses(row, tableTimeMs)
        rowVersion = version
        isReadDue = false
        readAtMs = nowMs
        confirmed.clear()
        // What replaces an unreadable row has to be written before streams begin.
        if (current != null) confirmOpen()
        noteUnlisted(nowMs)
    }

    /** The store has come back from an older copy: versions go back, and the row may lack what this router has seen there. */
    fun onStoreRestored(tableTimeMs: Long) {
        val before = history ?: return
        lostUses = before.uses.filterValues { it.isKept(tableTimeMs) }
        lossEndsAtTableTimeMs = tableTimeMs + VersionHistory.RETENTION_MS
        isReadDue = true
    }

    /** Returns [row] with the versions that it lacks or had opened later, and notes whether it has to be written. */
    private fun withLostUses(
        row: VersionHistory,
        tableTimeMs: Long,
    ): VersionHistory {
        val isOfEarlierEra = !row.isEmpty && row.storeEra != storeEra()
        // A transaction of the earlier era may take effect after rows of this one were written.
        if (isOfEarlierEra) lostUses = history?.uses.orEmpty() + lostUses
        lostUses =
            lostUses.filter { (version, use) ->
                use.isKept(tableTimeMs) && if (isOfEarlierEra) row.uses[version] != use else !use.isCoveredBy(row.uses[version])
            }
        isWriteDue = isOfEarlierEra || lostUses.isNotEmpty()
        if (!isWriteDue) return row
        val incompleteUntilMs = maxOf(row.incompleteUntilTableTimeMs, tableTimeMs + VersionHistory.RETENTION_MS)
        return row.copy(uses = row.uses + lostUses, incompleteUntilTableTimeMs = incompleteUntilMs)
    }

    /** Versions on which a stream that is resumed now may have begun; null if that is not known. */
    fun candidates(
        tableTimeMs: Long,
        nowMs: Long,
    ): Set<SoftwareVersion>? {
        val current = history?.takeIf { it.isComplete(tableTimeMs) && tableTimeMs >= lossEndsAtTableTimeMs } ?: return null
        val known = listed + unlistedSinceMs.filterValues { nowMs - it < VersionHistory.RETENTION_MS }.keys
        return current.candidates(tableTimeMs) + known.filterNot { current.isPending(it, tableTimeMs) }
    }

    /** Whether records of streams are needed to tell on which version one began. */
    fun needsRecords(
        tableTimeMs: Long,
        nowMs: Long,
    ): Boolean = !isUnversioned && (candidates(tableTimeMs, nowMs)?.size != 1 || open.size > 1)

    /** Returns what has to be done at [nowMs]. */
    fun nextStep(
        nowMs: Long,
        tableTimeMs: Long,
    ): VersionStep {
        if (!hasList || isUnversioned) return VersionStep.Wait(null)
        val current = history?.takeUnless { isReadDue } ?: return VersionStep.Read
        val opened = versionsToOpen(current, tableTimeMs)
        val unlistedOpen = current.uses.keys.filter { current.isOpen(it) && it !in listed }
        val dueAtMs = unlistedOpen.associateWith { unlistedSinceMs.getOrPut(it) { nowMs } + closeAfterMs }
        val closed = dueAtMs.filterValues { it <= nowMs }.keys
        // Versions that only this router has seen in use are added as closed.
        val unknown = if (opened.isEmpty() && !isWriteDue) emptyList() else unlistedSinceMs.keys.filter { it !in current.uses }
        if (isWriteDue || opened.isNotEmpty() || closed.isNotEmpty()) {
            val next = current.with(opened, closed + unknown, tableTimeMs).copy(storeEra = storeEra())
            return VersionStep.Write(next, rowVersion)
        }
        if (open.any { it in listed && it !in confirmed }) return VersionStep.Read
        return VersionStep.Wait(dueAtMs.values.minOrNull())
    }

    private fun versionsToOpen(
        current: VersionHistory,
        tableTimeMs: Long,
    ): Map<SoftwareVersion, VersionUse> {
        val spareVersions = (MAX_VERSIONS - current.uses.values.count { it.isKept(tableTimeMs) }).coerceAtLeast(0)
        val missing = listed.filter { !current.isOpen(it) }.take(spareVersions)
        val pending = listed.filter { current.isPending(it, tableTimeMs) }
        // A store that has come back may have lost versions on which streams have begun.
        if (isWriteDue) return missing.associateWith { VersionUse() }
        val hasUsable = accepting.any { current.isOpen(it) && it !in pending }
        if (!hasUsable) return (missing + pending).associateWith { VersionUse() }
        val candidates = current.candidates(tableTimeMs)
        return missing.associateWith { if (it in candidates) VersionUse() else VersionUse(tableTimeMs + BEGIN_DELAY_MS) }
    }

    private fun confirmOpen() {
        confirmed += open.intersect(listed)
    }

    private fun noteUnlisted(nowMs: Long) {
        if (hasList) for (version in open - listed) unlistedSinceMs.putIfAbsent(version, nowMs)
    }

    /** Limits of the versions of one service, which share a row of the table. */
    companion object {
        /** Largest number of versions on which streams of a service may begin. */
        const val MAX_VERSIONS: Int = 64

        /** Greatest length of a version on which streams may begin. */
        const val MAX_VERSION_CHARS: Int = 100

        /** Time after which a new version is listed by all routers, and their records of earlier streams are written. */
        private const val BEGIN_DELAY_MS = 2_000L
        private val UNSTATED = SoftwareVersion.UNSTATED

        /** A version is closed only after it has had no listed server for longer than that. */
        private const val MAX_READ_AGE_MS = 5_000L
    }
}

/** What a router has to do for the versions of a service. */
internal sealed interface VersionStep {
    /** Nothing before monotonic time [untilMs]; null if nothing will be due by itself. */
    data class Wait(
        val untilMs: Long?,
    ) : VersionStep

    /** The table has to be read. */
    data object Read : VersionStep

    /** [history] has to be written in place of the row of version [expectedVersion]. */
    data class Write(
        val history: VersionHistory,
        val expectedVersion: Long,
    ) : VersionStep
}
