package org.lycheemount.origins

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.common.BackendServer
import org.lycheemount.common.CallerAttemptId
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.ServiceId
import org.lycheemount.common.SoftwareVersion
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.platform.StoreEras
import org.lycheemount.platform.TableService

/**
 * Origins that all routers share through a table of their own, so that they outlast the routers.
 *
 * A row for each service has the versions on which streams may have begun. A router writes or reads there that a version is open before
 * it begins streams on it, so a router that reads the row when a stream is resumed sees every version that the stream may have begun on.
 * If there are several, the records of streams tell which. They are written in batches after the streams have begun, and only while they
 * are needed: the first event of a stream does not wait for the table, and the origin of a stream whose record was lost is unknown.
 *
 * When the store has come back from an older copy, each router writes again what it knows: the versions in use and the records of streams
 * that it began, and those that it keeps for peers. For [VersionHistory.RETENTION_MS] after that, a stream goes on only if there is a
 * record of it, at any router.
 *
 * @param table table that holds origins and nothing else.
 * @param eras eras of the store that holds [table].
 * @param peers links to the other routers, of which one keeps copies of this router's records.
 * @param routerCount number of routers, which share the rate of writes.
 */
class SharedStreamOrigins(
    table: TableService,
    self: RouterIdentity,
    private val clock: Clock,
    private val log: EventLog,
    private val eras: StoreEras,
    peers: PeerMessenger,
    routerCount: () -> Int,
) : StreamOrigins {
    private val state = OriginState(self, clock, log, eras, routerCount)
    private val obsoleteRows = ObsoleteRowRemover(table, state, self.routerId)
    private val reads = SharedRead(clock, MIN_READ_INTERVAL_MS, OriginTableReader(table, state, obsoleteRows, eras, clock)::read)
    private val versions = VersionMaintainer(table, state, reads, eras, clock, log)
    private val writer = OriginWriter(table, state, clock)
    private val replicator = OriginReplicator(peers, state, clock, log)
    private val lookups = HashMap<LookupOutcome, Long>()

    /** Whether the versions in use have been read; no streams begin before. */
    val isRead: Boolean get() = state.isRead

    /** Counters and current sizes, for metrics. */
    val statistics: OriginStatistics
        get() =
            state.withBook { book ->
                OriginStatistics(
                    book.openVersions,
                    writer.writtenCount,
                    book.journal.waitingCount,
                    book.copies.keptCount,
                    state.failedCalls,
                    lookups.toMap(),
                )
            }

    /** Starts to read and write the table in [scope]. */
    fun start(scope: CoroutineScope) {
        scope.launch { reads.run() }
        scope.launch { versions.run() }
        scope.launch { writer.run() }
        replicator.register()
        scope.launch { replicator.run() }
        scope.launch { obsoleteRows.run() }
        scope.launch { eras.current.collect { state.noteEra() } }
    }

    /** The platform lists [servers] now. */
    fun onBackendServers(servers: Collection<BackendServer>) {
        state.withBook { book ->
            book.onListed(servers, clock.monotonicMs())
            state.recordIfNeeded()
        }
        state.versionChanges.trySend(Unit)
    }

    override fun usableVersions(serviceId: ServiceId): Set<SoftwareVersion>? =
        state.withBook { it.usableVersions(serviceId, clock.monotonicMs()) }

    override fun onStreamBegun(
        attemptId: CallerAttemptId,
        serviceId: ServiceId,
        version: SoftwareVersion,
    ) {
        val key = streamKeyOf(attemptId, serviceId)
        state.withBook { book ->
            book.onStreamBegun(key, serviceId, version, clock.monotonicMs())
            state.recordIfNeeded()
        }
        state.newCopies.trySend(Unit)
    }

    override suspend fun originOf(
        attemptId: CallerAttemptId?,
        serviceId: ServiceId,
        patienceMs: Long,
    ): StreamOrigin {
        val startedAtMs = clock.monotonicMs()
        val key = attemptId?.let { streamKeyOf(it, serviceId) }
        val lookup = state.withBook { it.findRemembered(key, serviceId) } ?: lookUp(key, serviceId, patienceMs)
        state.withBook { lookups.merge(lookup.outcome, 1, Long::plus) }
        val origin = lookup.origin
        log.info(
            "stream_origin",
            "service" to serviceId.value,
            "attempt" to attemptId?.value,
            "version" to (origin as? StreamOrigin.Known)?.version?.value,
            "reason" to (origin as? StreamOrigin.Unknown)?.reason,
            "source" to lookup.outcome.name.lowercase(),
            "age_ms" to lookup.beganAtMs?.let { clock.monotonicMs() - it },
            "waited_ms" to clock.monotonicMs() - startedAtMs,
        )
        return origin
    }

    /** Reads the table until the origin of the stream is known, or until its record should be there, but no longer than [patienceMs]. */
    private suspend fun lookUp(
        key: StreamKey?,
        serviceId: ServiceId,
        patienceMs: Long,
    ): OriginLookup {
        val recordedByMs = clock.monotonicMs() + state.writeIntervalMs() + RECORD_DELAY_MS
        var latest = OriginLookup(StreamOrigin.Unknown("the versions in use could not be read in time"), LookupOutcome.NOT_READ)
        withTimeoutOrNull(patienceMs) {
            while (true) {
                if (!reads.await()) continue
                latest = state.withBook { it.findRead(key, serviceId, state.readAtTableTimeMs ?: 0, clock.monotonicMs()) }
                val writtenAgainByMs = state.restoredAtMs?.plus(WRITTEN_AGAIN_MS) ?: 0
                if (!latest.mayBeRecordedLater || clock.monotonicMs() >= maxOf(recordedByMs, writtenAgainByMs)) break
                delay(REREAD_DELAY_MS)
            }
        }
        return latest
    }

    private companion object {
        private const val MIN_READ_INTERVAL_MS = 100L
        private const val REREAD_DELAY_MS = 200L

        /** Time after its write interval in which the record of another router is in the table. */
        private const val RECORD_DELAY_MS = 100L

        /** Time in which all routers that reach the store notice that it has come back, and write their records again. */
        private const val WRITTEN_AGAIN_MS = 2_000L
    }
}
