package org.lycheemount.quarantine

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.lycheemount.common.Clock
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
 * Lets the fleet send requests with a doubtful segment one at a time, [INTERVAL_MS] apart. A router takes a permit from the table and
 * uses it for its next request with that segment. Without the table there are no permits. Thread-safe.
 *
 * @param tableTimeMs estimated time of the table.
 */
internal class ProbePermits(
    private val table: TableService,
    private val self: RouterIdentity,
    private val clock: Clock,
    private val log: EventLog,
    private val tableTimeMs: () -> Long,
) {
    private val lock = Any()

    /** Monotonic time at which the unused permit for a segment ends. */
    private val heldUntilMs = HashMap<SegmentId, Long>()

    /** The row of the last permit for a segment, as far as this router knows. */
    private val knownRows = HashMap<SegmentId, TableRow>()
    private val wanted = Channel<SegmentId>(MAX_WANTED, BufferOverflow.DROP_OLDEST)
    private var transactionCount = 0L

    /** Starts to take permits in [scope]. */
    fun start(scope: CoroutineScope) {
        scope.launch { for (segment in wanted) if (isDue(segment)) take(segment) }
    }

    /** Whether this router has a permit for a request with [segment]. */
    fun isHeld(segment: SegmentId): Boolean = synchronized(lock) { heldUntilMs[segment]?.let { clock.monotonicMs() < it } ?: false }

    /** Uses the permit for a request with [segment]. Returns false if there is none. */
    fun use(segment: SegmentId): Boolean = synchronized(lock) { heldUntilMs.remove(segment)?.let { clock.monotonicMs() < it } ?: false }

    /** Tries to take a permit for a request with [segment], for requests that come later. */
    fun request(segment: SegmentId) {
        if (isDue(segment)) wanted.trySend(segment)
    }

    /** Whether the fleet may send another request with [segment], as far as this router knows. */
    private fun isDue(segment: SegmentId): Boolean {
        val lastTakenAtMs = synchronized(lock) { knownRows[segment] }?.let(::takenAtTableTimeMs) ?: return true
        return tableTimeMs() - lastTakenAtMs >= INTERVAL_MS
    }

    private suspend fun take(segment: SegmentId) {
        val key = "$KEY_PREFIX$segment"
        val known = synchronized(lock) { knownRows[segment] }
        val value = Json.encodeToString(ProbeRow.serializer(), ProbeRow(tableTimeMs()))
        val transactionId = "probe-${self.routerId.value}-${self.incarnation}-${transactionCount++}"
        val transaction = TableTransaction(transactionId, listOf(RowCheck(key, known?.version ?: 0)), listOf(RowWrite(key, value)))
        val calledAtMs = clock.monotonicMs()
        val outcome = (table.commit(transaction) as? TableResult.Response)?.value ?: return
        synchronized(lock) {
            when (outcome) {
                is CommitOutcome.Committed -> {
                    knownRows[segment] = TableRow(key, value, outcome.versions[key] ?: 0)
                    // Ends before another router may take the next one.
                    heldUntilMs[segment] = calledAtMs + INTERVAL_MS / 2
                }
                is CommitOutcome.Conflict -> {
                    val current = outcome.current.firstOrNull { it.key == key }
                    if (current == null) knownRows.remove(segment) else knownRows[segment] = current
                }
            }
        }
        log.info("segment_probe_permit", "segment" to segment, "granted" to (outcome is CommitOutcome.Committed))
    }

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
        private const val MAX_WANTED = 16
    }
}

/** The last permit of a segment, taken at [takenAtTableTimeMs]. */
@Serializable
private data class ProbeRow(
    val takenAtTableTimeMs: Long,
)
