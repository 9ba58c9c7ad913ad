package org.lycheemount.origins

import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.ServiceId
import org.lycheemount.common.SoftwareVersion
import org.lycheemount.platform.StoreEra
import org.lycheemount.platform.TableRow
import kotlin.random.Random

/**
 * What one router knows of versions in use and of the origins of streams. All times are monotonic unless they are named otherwise. Does
 * no I/O; not thread-safe.
 *
 * @param runId identifies this run of this router.
 * @param onUnusableVersions called with a service when it gets more versions than its row holds, or one that is too long.
 */
internal class OriginBook(
    runId: String,
    private val random: Random,
    private val onUnreadableRow: (String) -> Unit,
    private val onUnusableVersions: (ServiceId, Int) -> Unit,
) {
    private val services = HashMap<ServiceId, ServiceVersions>()
    private val ownOrigins = RecentOrigins(MAX_ORIGINS, OriginJournal.MAX_AGE_MS)
    private val recordedOrigins = RecentOrigins(MAX_ORIGINS, OriginJournal.MAX_AGE_MS)

    /** Streams that this router began, of services that have needed no records so far. */
    private val heldOrigins = HashMap<ServiceId, ArrayDeque<WaitingOrigin>>()

    /** Era of the store; null before that has stated one. */
    private var storeEra: StoreEra? = null

    private var servicesWithUnusable = emptySet<ServiceId>()

    /** Table time less monotonic time at the last response of the table; null before the first. */
    private var tableTimeOffsetMs: Long? = null

    /** Copies of origins, of this router's own streams for a peer, and of those of peers. */
    val copies: OriginCopies = OriginCopies()

    /** Origins to be written. */
    val journal: OriginJournal = OriginJournal(runId)

    /** Services that are known. */
    val serviceIds: Set<ServiceId> get() = services.keys.toSet()

    /** Number of streams whose records have been read. */
    val recordedCount: Int get() = recordedOrigins.size

    /** Number of versions on which streams may begin, by service. */
    val openVersions: Map<String, Int> get() = services.entries.associate { (serviceId, versions) -> serviceId.value to versions.open.size }

    /** Estimated table time at [nowMs]; null before the first response of the table. */
    fun tableTimeMs(nowMs: Long): Long? = tableTimeOffsetMs?.plus(nowMs)

    /** The table responded at [nowMs]. */
    fun onResponse(
        tableTimeMs: Long,
        nowMs: Long,
    ) {
        tableTimeOffsetMs = tableTimeMs - nowMs
    }

    /**
     * The store has stated [era]. Returns whether it has come back from an older copy since the last call: then all rows that this router
     * has read or written may be gone.
     */
    fun onStoreEra(
        era: StoreEra,
        nowMs: Long,
    ): Boolean {
        val previous = storeEra
        storeEra = era
        if (previous == null || previous == era) return false
        services.values.forEach { it.onStoreRestored(tableTimeMs(nowMs) ?: 0) }
        journal.writeAgain()
        copies.takeKept().filter { nowMs - it.atMs <= OriginJournal.MAX_AGE_MS }.forEach(journal::add)
        return true
    }

    /** The platform lists [servers] from [nowMs] on. */
    fun onListed(
        servers: Collection<BackendServer>,
        nowMs: Long,
    ) {
        val serversByService = servers.flatMap { server -> server.targets.map { it to server } }.groupBy({ it.first }, { it.second })
        val listed = serversByService.mapNotNull { (target, of) -> (target as? BackendTarget.Service)?.let { it.serviceId to of } }.toMap()
        noteUnusable(listed)
        listed.keys.forEach(::versionsOf)
        for ((serviceId, versions) in services) {
            val usable = listed[serviceId].orEmpty().filter { it.softwareVersion.value.length <= ServiceVersions.MAX_VERSION_CHARS }
            versions.onListed(versionsOf(usable), versionsOf(usable.filterNot { it.leaving }), nowMs)
        }
    }

    private fun noteUnusable(listed: Map<ServiceId, List<BackendServer>>) {
        val affected =
            listed.mapValues { (_, servers) -> versionsOf(servers) }.filterValues { versions ->
                versions.size > ServiceVersions.MAX_VERSIONS || versions.any { it.value.length > ServiceVersions.MAX_VERSION_CHARS }
            }
        (affected.keys - servicesWithUnusable).forEach { onUnusableVersions(it, affected.getValue(it).size) }
        servicesWithUnusable = affected.keys
    }

    private fun versionsOf(servers: List<BackendServer>): Set<SoftwareVersion> = servers.mapTo(HashSet()) { it.softwareVersion }

    /** Versions on which streams may begin at [serviceId]; null if any may be used. */
    fun usableVersions(
        serviceId: ServiceId,
        nowMs: Long,
    ): Set<SoftwareVersion>? {
        val versions = services[serviceId] ?: return emptySet()
        return versions.usable(tableTimeMs(nowMs) ?: 0)
    }

    /** This router began the stream with [key] on [version]. */
    fun onStreamBegun(
        key: StreamKey,
        serviceId: ServiceId,
        version: SoftwareVersion,
        nowMs: Long,
    ) {
        if (services[serviceId]?.isUnversioned == true) return
        ownOrigins.add(key, version, nowMs)
        copies.add(key, version, nowMs)
        val held = heldOrigins.getOrPut(serviceId, ::ArrayDeque)
        held += WaitingOrigin(key, version, nowMs)
        while (held.size > MAX_ORIGINS || nowMs - held.first().atMs > OriginJournal.MAX_AGE_MS) held.removeFirst()
    }

    /** Moves origins of services that need records to the journal. Returns whether there were any. */
    fun recordIfNeeded(nowMs: Long): Boolean {
        val tableTimeMs = tableTimeMs(nowMs) ?: return false
        var isAnyNew = false
        for ((serviceId, held) in heldOrigins) {
            if (held.isEmpty() || services[serviceId]?.needsRecords(tableTimeMs, nowMs) != true) continue
            held.forEach(journal::add)
            held.clear()
            isAnyNew = true
        }
        return isAnyNew
    }

    /** Whether records of new streams are written. */
    fun isRecording(nowMs: Long): Boolean = tableTimeMs(nowMs)?.let { at -> services.values.any { it.needsRecords(at, nowMs) } } ?: false

    /** A peer that has none of this router's copies is to get them. */
    fun copyAllAgain(nowMs: Long) {
        copies.sendAll(ownOrigins.since(nowMs - OriginJournal.MAX_AGE_MS))
        journal.onReplicaPeerLost()
    }

    /** A peer has sent [copy]. Returns whether this router is to write the record. */
    fun onPeerCopy(
        copy: OriginCopy,
        nowMs: Long,
    ): Boolean {
        recordedOrigins.add(copy.key, copy.version, copy.atMs)
        if (!copy.isUnwritten) {
            copies.keep(copy, nowMs)
            return false
        }
        journal.add(WaitingOrigin(copy.key, copy.version, copy.atMs, isOfPeer = true))
        return true
    }

    /** Returns what has to be done for each service at [nowMs]. */
    fun nextSteps(nowMs: Long): List<Pair<ServiceId, VersionStep>> {
        val tableTimeMs = tableTimeMs(nowMs) ?: return emptyList()
        return services.map { (serviceId, versions) -> serviceId to versions.nextStep(nowMs, tableTimeMs) }
    }

    /** The table had the versions of [serviceId] in [row], null if there was none, in response to a call that began at [calledAtMs]. */
    fun onVersionsRow(
        serviceId: ServiceId,
        row: TableRow?,
        tableTimeMs: Long,
        calledAtMs: Long,
        nowMs: Long,
    ) {
        val history = if (row == null) VersionHistory(serviceId) else decodeHistory(row.value)
        if (history == null) row?.let { onUnreadableRow(it.key) }
        versionsOf(serviceId).onHistory(history, row?.version ?: 0, tableTimeMs, calledAtMs, nowMs)
    }

    /** Applies [row], which a call read that began at [calledAtMs]. Returns the service if it is a row of versions. */
    fun onRow(
        row: TableRow,
        tableTimeMs: Long,
        calledAtMs: Long,
        nowMs: Long,
    ): ServiceId? {
        if (row.key.startsWith(OriginKeys.VERSIONS)) {
            val serviceId = decodeHistory(row.value)?.serviceId ?: services.keys.firstOrNull { OriginKeys.versions(it) == row.key }
            if (serviceId != null) onVersionsRow(serviceId, row, tableTimeMs, calledAtMs, nowMs)
            return serviceId
        }
        val begunAtTableTimeMs = OriginKeys.tableTimeMs(row.key)
        val streams = decodeStreams(row.value)
        if (begunAtTableTimeMs == null || streams == null) {
            onUnreadableRow(row.key)
            return null
        }
        val ageMs = tableTimeMs - begunAtTableTimeMs
        if (ageMs > OriginJournal.MAX_AGE_MS + OriginJournal.ROW_DURATION_MS) return null
        for ((key, version) in streams) recordedOrigins.add(key, version, nowMs - ageMs)
        return null
    }

    /** Returns the origin of a stream at [serviceId] as far as it is known without reading the table, else null. */
    fun findRemembered(
        key: StreamKey?,
        serviceId: ServiceId,
    ): OriginLookup? {
        if (services[serviceId]?.isUnversioned == true) return OriginLookup(StreamOrigin.AnyVersion, LookupOutcome.ANY_VERSION)
        return findRecord(key, LookupOutcome.REMEMBERED)
    }

    /** Returns the origin of a stream at [serviceId] that was resumed before the table was read at [readAtTableTimeMs]. */
    fun findRead(
        key: StreamKey?,
        serviceId: ServiceId,
        readAtTableTimeMs: Long,
        nowMs: Long,
    ): OriginLookup {
        findRecord(key, LookupOutcome.RECORDED)?.let { return it }
        val versions = versionsOf(serviceId)
        if (versions.isUnversioned) return OriginLookup(StreamOrigin.AnyVersion, LookupOutcome.ANY_VERSION)
        val candidates = versions.candidates(maxOf(readAtTableTimeMs, tableTimeMs(nowMs) ?: 0), nowMs)
        val single = candidates?.singleOrNull()
        return when {
            candidates == null -> unknown("the versions lately in use are not known", mayBeRecordedLater = key != null)
            single != null -> OriginLookup(StreamOrigin.Known(single), LookupOutcome.SINGLE_VERSION)
            candidates.isEmpty() -> unknown("no version of the service has been in use")
            key == null -> unknown("the attempt that began the stream is not named and ${candidates.size} versions are in use")
            else -> unknown("there is no record of the stream and ${candidates.size} versions are in use", mayBeRecordedLater = true)
        }
    }

    private fun findRecord(
        key: StreamKey?,
        outcome: LookupOutcome,
    ): OriginLookup? {
        val known = listOfNotNull(key?.let(ownOrigins::find), key?.let(recordedOrigins::find))
        val origin = known.firstOrNull() ?: return null
        val isAmbiguous = known.any { it.isAmbiguous || it.version != origin.version }
        if (isAmbiguous) return unknown("several streams have the same attempt id")
        return OriginLookup(StreamOrigin.Known(origin.version), outcome, origin.atMs)
    }

    private fun unknown(
        reason: String,
        mayBeRecordedLater: Boolean = false,
    ) = OriginLookup(StreamOrigin.Unknown(reason), LookupOutcome.UNKNOWN, mayBeRecordedLater = mayBeRecordedLater)

    private fun versionsOf(serviceId: ServiceId): ServiceVersions =
        services.getOrPut(serviceId) { ServiceVersions(serviceId, CLOSE_AFTER_MS + random.nextLong(CLOSE_SPREAD_MS)) { storeEra?.value } }

    private companion object {
        private const val MAX_ORIGINS = 50_000

        /** Entries of servers lapse for seconds in outages of the store. */
        private const val CLOSE_AFTER_MS = 30_000L
        private const val CLOSE_SPREAD_MS = 5_000L
    }
}

/**
 * Result of a lookup.
 *
 * @property beganAtMs monotonic time at which the stream began, if there is a record.
 * @property mayBeRecordedLater whether the record may not have reached the table yet.
 */
internal class OriginLookup(
    val origin: StreamOrigin,
    val outcome: LookupOutcome,
    val beganAtMs: Long? = null,
    val mayBeRecordedLater: Boolean = false,
)
