package org.lycheemount.quarantine

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterIdentity
import org.lycheemount.platform.CommitOutcome
import org.lycheemount.platform.RowCheck
import org.lycheemount.platform.RowWrite
import org.lycheemount.platform.StoreEra
import org.lycheemount.platform.StoreEras
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableRow
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableTransaction

/**
 * Lets the fleet send requests with a doubtful segment one at a time, [INTERVAL_MS] apart. The request that is to be sent takes the permit
 * from the table itself, so that a caller who comes alone is served. Without the table there are no permits. Thread-safe.
 *
 * A store that has come back from an older copy has lost the permits of its last seconds, so none are taken for [INTERVAL_MS] after a
 * router has noticed that, nor after it has heard from the store for the first time.
 *
 * @param eras eras of the store that holds [table].
 * @param tableTimeMs estimated time of the table.
 */
internal class ProbePermits(
    private val table: TableService,
    private val self: RouterIdentity,
    private val clock: Clock,
    private val log: EventLog,
    private val eras: StoreEras,
    private val tableTimeMs: () -> Long,
) {
    private val lock = Any()

    /** Segments for which this router is taking a permit. */
    private val pending = HashSet<SegmentId>()

    /** The row of the last permit for a segment, as far as this router knows. */
    private val knownRows = HashMap<SegmentId, TableRow>()
    private var transactionCount = 0L
    private var knownEra: StoreEra? = null

    /** Monotonic time until which permits that the store has lost may count. */
    private var lossEndsAtMs = Long.MIN_VALUE

    /** Takes note of the era of the store. */
    fun onStoreEra() =
        synchronized(lock) {
            val era = eras.current.value
            if (era == knownEra) return@synchronized
            knownEra = era
            lossEndsAtMs = clock.monotonicMs() + INTERVAL_MS
            // Versions are given out again, so another permit may have the known one. The next transaction checks that there is none.
            knownRows.replaceAll { _, row -> row.copy(version = 0) }
        }

    /** Whether [take] may return a permit for a request with [segment], as far as this router knows. */
    fun mayTake(segment: SegmentId): Boolean = synchronized(lock) { segment !in pending && isDue(segment) }

    /**
     * Takes the permits for a request with [segments] that is sent at once, all of them or none. Returns the segment for which there is
     * none, or null if all were taken.
     */
    suspend fun take(segments: Set<SegmentId>): SegmentId? {
        if (segments.isEmpty()) return null
        onStoreEra()
        synchronized(lock) {
            segments.firstOrNull { it in pending || !isDue(it) }?.let { return it }
            pending += segments
        }
        val outcome =
            try {
                takeAll(segments)
            } finally {
                synchronized(lock) { pending -= segments }
            }
        val isGranted = outcome is CommitOutcome.Committed
        log.info(
            "segment_probe_permit",
            "segment" to segments.joinToString(","),
            "granted" to isGranted,
            "table_responded" to (outcome != null),
        )
        return if (isGranted) null else synchronized(lock) { segments.firstOrNull { !isDue(it) } ?: segments.first() }
    }

    /** Returns null without a response of the table. */
    private suspend fun takeAll(segments: Set<SegmentId>): CommitOutcome? {
        val outcome = commit(segments)
        // A router that does not know the last permits learns of them by the conflict. They may be long past.
        val isRepeated = outcome is CommitOutcome.Conflict && synchronized(lock) { segments.all(::isDue) }
        return if (isRepeated) commit(segments) else outcome
    }

    private suspend fun commit(segments: Set<SegmentId>): CommitOutcome? {
        val transaction = synchronized(lock) { transactionFor(segments) }
        val era = eras.current.value
        val outcome = (table.commit(transaction) as? TableResult.Response)?.value
        if (era != null && eras.current.value != era) return null
        synchronized(lock) {
            when (outcome) {
                is CommitOutcome.Committed ->
                    for ((segment, write) in segments.zip(transaction.writes)) {
                        knownRows[segment] = TableRow(write.key, write.value.orEmpty(), outcome.versions[write.key] ?: 0)
                    }
                is CommitOutcome.Conflict -> noteConflict(segments, outcome.current)
                null -> Unit
            }
        }
        return outcome
    }

    /** [current] omits rows that are absent and rows that are as expected, so a conflict without rows is one about absent rows. */
    private fun noteConflict(
        segments: Set<SegmentId>,
        current: List<TableRow>,
    ) {
        val currentByKey = current.associateBy { it.key }
        for (segment in segments) {
            val row = currentByKey[keyOf(segment)]
            if (row != null) {
                knownRows[segment] = row
            } else if (current.isEmpty()) {
                knownRows -= segment
            }
        }
    }

    private fun isDue(segment: SegmentId): Boolean {
        if (clock.monotonicMs() < lossEndsAtMs) return false
        val lastTakenAtMs = knownRows[segment]?.let(::takenAtTableTimeMs) ?: return true
        return tableTimeMs() - lastTakenAtMs >= INTERVAL_MS
    }

    private fun transactionFor(segments: Set<SegmentId>): TableTransaction {
        val value = Json.encodeToString(ProbeRow.serializer(), ProbeRow(tableTimeMs()))
        val transactionId = "probe-${self.routerId.value}-${self.incarnation}-${transactionCount++}"
        val checks = segments.map { RowCheck(keyOf(it), knownRows[it]?.version ?: 0) }
        return TableTransaction(transactionId, checks, checks.map { RowWrite(it.key, value) })
    }

    private fun keyOf(segment: SegmentId) = "$KEY_PREFIX$segment"

    private fun takenAtTableTimeMs(row: TableRow): Long? =
        try {
            Json.decodeFromString(ProbeRow.serializer(), row.value).takenAtTableTimeMs
        } catch (exception: SerializationException) {
            log.warn("quarantine_row_unreadable", "key" to row.key, "error" to exception.message)
            null
        }

    /** Times. */
    companion object {
        /** Time between two permits for the same segment, in milliseconds. A crash on the first one is known to all routers by then. */
        const val INTERVAL_MS: Long = 3_000
        private const val KEY_PREFIX = "probe/"
    }
}

/** The last permit of a segment, taken at [takenAtTableTimeMs]. */
@Serializable
private data class ProbeRow(
    val takenAtTableTimeMs: Long,
)
