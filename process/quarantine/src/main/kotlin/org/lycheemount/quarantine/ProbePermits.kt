package org.lycheemount.quarantine

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterIdentity
import org.lycheemount.platform.CommitOutcome
import org.lycheemount.platform.RowCheck
import org.lycheemount.platform.RowWrite
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableRow
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableTransaction

/**
 * Lets the fleet send requests with a doubtful segment one at a time, [INTERVAL_MS] apart. The request that is to be sent takes the permit
 * from the table itself, so that a caller who comes alone is served. Without the table there are no permits. Thread-safe.
 *
 * @param tableTimeMs estimated time of the table.
 */
internal class ProbePermits(
    private val table: TableService,
    private val self: RouterIdentity,
    private val log: EventLog,
    private val tableTimeMs: () -> Long,
) {
    private val lock = Any()

    /** Segments for which this router is taking a permit. */
    private val pending = HashSet<SegmentId>()

    /** The row of the last permit for a segment, as far as this router knows. */
    private val knownRows = HashMap<SegmentId, TableRow>()
    private var transactionCount = 0L

    /** Whether [take] may return a permit for a request with [segment], as far as this router knows. */
    fun mayTake(segment: SegmentId): Boolean = synchronized(lock) { segment !in pending && isDue(segment) }

    /** Takes the permit for a request with [segment] that is sent at once. Returns false if there is none. */
    suspend fun take(segment: SegmentId): Boolean {
        val transaction =
            synchronized(lock) {
                if (!isDue(segment) || !pending.add(segment)) return false
                transactionFor(segment)
            }
        val response =
            try {
                table.commit(transaction)
            } finally {
                synchronized(lock) { pending -= segment }
            }
        val outcome = (response as? TableResult.Response)?.value
        synchronized(lock) {
            when (outcome) {
                is CommitOutcome.Committed -> {
                    val write = transaction.writes.single()
                    knownRows[segment] = TableRow(write.key, write.value.orEmpty(), outcome.versions[write.key] ?: 0)
                }
                is CommitOutcome.Conflict -> {
                    val current = outcome.current.firstOrNull { it.key == keyOf(segment) }
                    if (current == null) knownRows.remove(segment) else knownRows[segment] = current
                }
                null -> Unit
            }
        }
        val isGranted = outcome is CommitOutcome.Committed
        log.info("segment_probe_permit", "segment" to segment, "granted" to isGranted, "table_responded" to (outcome != null))
        return isGranted
    }

    private fun isDue(segment: SegmentId): Boolean {
        val lastTakenAtMs = knownRows[segment]?.let(::takenAtTableTimeMs) ?: return true
        return tableTimeMs() - lastTakenAtMs >= INTERVAL_MS
    }

    private fun transactionFor(segment: SegmentId): TableTransaction {
        val key = keyOf(segment)
        val value = Json.encodeToString(ProbeRow.serializer(), ProbeRow(tableTimeMs()))
        val transactionId = "probe-${self.routerId.value}-${self.incarnation}-${transactionCount++}"
        return TableTransaction(transactionId, listOf(RowCheck(key, knownRows[segment]?.version ?: 0)), listOf(RowWrite(key, value)))
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
