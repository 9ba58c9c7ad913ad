package org.lycheemount.quarantine

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.lycheemount.common.BackendServer
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.VmId
import org.lycheemount.platform.RowFeed
import org.lycheemount.platform.RowListener
import org.lycheemount.platform.RowWrite
import org.lycheemount.platform.StoreEra
import org.lycheemount.platform.StoreEras
import org.lycheemount.platform.StoreRow
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableTransaction

/**
 * Quarantine that all routers share through a table of their own. What one of them learns reaches the others by the change feed of that
 * table, and a router that starts reads all of it. While the table does not respond, a router goes on with what it knows. When the store
 * has come back from an older copy, each router writes again what it wrote lately.
 *
 * @param table table that holds reports and clearances and nothing else.
 * @param eras eras of the store that holds [table].
 * @param feed long-polling feed of the rows of [table].
 * @param hasEnded whether a server refuses connections, which tells a crash from a connection that was lost for another reason.
 */
class SharedPromptQuarantine(
    private val table: TableService,
    private val eras: StoreEras,
    private val feed: RowFeed,
    private val self: RouterIdentity,
    private val clock: Clock,
    private val log: EventLog,
    private val hasEnded: suspend (BackendServer) -> Boolean,
) : PromptQuarantine {
    private val lock = Any()
    private val evidence = CrashEvidence()
    private val workingSegments = RecentSegments(MAX_WORKING_SEGMENTS)
    private val brokenByRun = HashMap<VmId, BrokenAttempts>()
    private val brokenRuns = Channel<VmId>(Channel.UNLIMITED)
    private val writes =
        Channel<RowWrite>(MAX_PENDING_WRITES, BufferOverflow.DROP_OLDEST) { log.warn("quarantine_row_not_written", "key" to it.key) }

    /** The latest writes of this router, oldest first, with their monotonic times. */
    private val recentWrites = ArrayDeque<Pair<Long, RowWrite>>()
    private var writeCount = 0L
    private var reportCount = 0L

    /** Store time of the last response, with the monotonic time at which it arrived; null before the first. */
    private var tableContact: Pair<Long, Long>? = null

    @Volatile
    private var responsible = emptyList<QuarantinedSegments>()

    @Volatile
    private var suspected = emptySet<SegmentId>()

    @Volatile
    private var doubtful = emptySet<SegmentId>()
    private val probes = ProbePermits(table, self, clock, log, eras) { synchronized(lock) { tableTimeMs() } }

    override val quarantinedCount: Int
        get() {
            val nowMs = synchronized(lock) { tableTimeMs() }
            return responsible.count { it.untilTableTimeMs > nowMs }
        }

    private val rowListener =
        object : RowListener {
            override fun onAllRows(rows: List<StoreRow>) = onChangedRows(rows)

            override fun onChangedRows(rows: List<StoreRow>) =
                synchronized(lock) {
                    rows.forEach(::apply)
                    evaluate()
                }

            override fun onResponded() {
                synchronized(lock) { tableContact = feed.lastResponseTableTimeMs?.let { it to clock.monotonicMs() } }
            }

            // The watchers of the operator's and the servers' rows log when the store is unreachable.
            override fun onFailed(detail: String) = Unit
        }

    /** Starts to follow and to write the table in [scope]. */
    fun start(scope: CoroutineScope) {
        scope.launch { while (true) if (!feed.poll(rowListener)) delay(RETRY_DELAY_MS) }
        scope.launch { for (write in writes) commit(write) }
        scope.launch { for (run in brokenRuns) scope.launch { reportIfEnded(run) } }
        scope.launch { followEras() }
    }

    private suspend fun followEras() {
        var known = eras.current.value
        eras.current.filterNotNull().collect { era ->
            probes.onStoreEra()
            if (known != null && known != era) writeAgain(era)
            known = era
        }
    }

    private fun writeAgain(era: StoreEra) =
        synchronized(lock) {
            val oldestMs = clock.monotonicMs() - MAX_LOST_MS
            recentWrites.removeIf { (atMs, _) -> atMs < oldestMs }
            recentWrites.forEach { (_, write) -> writes.trySend(write) }
            log.info("quarantine_rows_written_again", "era" to era.value, "rows" to recentWrites.size)
        }

    private fun write(row: RowWrite) {
        recentWrites += clock.monotonicMs() to row
        if (recentWrites.size > MAX_PENDING_WRITES) recentWrites.removeFirst()
        writes.trySend(row)
    }

    override fun refusalFor(prompt: PromptSegments): Refusal? =
        quarantineRefusal(prompt) ?: doubtfulSegments(prompt).firstOrNull { !probes.mayTake(it) }?.let(::doubtRefusal)

    override suspend fun refusalToSend(prompt: PromptSegments): Refusal? =
        quarantineRefusal(prompt) ?: probes.take(doubtfulSegments(prompt))?.let(::doubtRefusal)

    private fun doubtRefusal(segment: SegmentId) =
        Refusal(
            RefusalReason.PROMPT_QUARANTINED,
            "servers have crashed on prompt segment $segment; requests with it are sent one at a time until a server responds",
            retryAfterMs = ProbePermits.INTERVAL_MS,
        )

    /**
     * Segments that make [prompt] doubtful: the first one, and one of each set whose quarantine has ended, the same on all routers. The
     * latter come first, since prompts with different first segments have them.
     */
    private fun doubtfulSegments(prompt: PromptSegments): Set<SegmentId> {
        val sets = responsible
        val suspectedFirst = doubtful
        if (sets.isEmpty() && suspectedFirst.isEmpty()) return emptySet()
        val segments = prompt.all
        val released = sets.filter { segments.containsAll(it.segments) }.mapTo(LinkedHashSet()) { set -> set.segments.minBy { it.value } }
        return released + listOfNotNull(prompt.shared.firstOrNull()?.takeIf { it in suspectedFirst })
    }

    private fun quarantineRefusal(prompt: PromptSegments): Refusal? {
        val current = responsible
        if (current.isEmpty()) return null
        val segments = prompt.all
        val nowMs = synchronized(lock) { tableTimeMs() }
        val quarantined = current.firstOrNull { it.untilTableTimeMs > nowMs && segments.containsAll(it.segments) } ?: return null
        return Refusal(
            RefusalReason.PROMPT_QUARANTINED,
            "${quarantined.crashCount} servers have crashed on prompt segments ${quarantined.segments.joinToString()}",
            retryAfterMs = quarantined.untilTableTimeMs - nowMs,
        )
    }

    override fun onPromptServed(prompt: PromptSegments) {
        synchronized(lock) {
            for (segment in prompt.all) {
                workingSegments.add(segment)
                if (segment in suspected) clear(segment)
            }
        }
    }

    override fun onAttemptBroken(
        server: BackendServer,
        prompt: PromptSegments,
    ) {
        synchronized(lock) {
            val attempts = brokenByRun[server.vmId]
            if (attempts != null) return attempts.suspects.add(prompt)
            brokenByRun[server.vmId] = BrokenAttempts(server, tableTimeMs()).apply { suspects.add(prompt) }
        }
        brokenRuns.trySend(server.vmId)
    }

    /** Reports the attempts that broke at about the same time on one run of a server, if it has ended. */
    private suspend fun reportIfEnded(run: VmId) {
        delay(COLLECT_MS)
        val server = synchronized(lock) { brokenByRun.getValue(run).server }
        val ended = hasEnded(server)
        synchronized(lock) {
            val attempts = brokenByRun.remove(run) ?: return
            log.info(
                "attempts_broken",
                "server" to server.backendServerId.value,
                "server_ended" to ended,
                "suspects" to attempts.suspects.prompts.joinToString(";") { it.all.joinToString(",") },
            )
            if (!ended) return
            val report = CrashReport(run, self.routerId, attempts.atTableTimeMs, attempts.suspects.prompts)
            // A busy router may notice further broken connections of the same crash later, which make a second report.
            val key = "$CRASH_PREFIX${run.value}/${self.processName}/${reportCount++}"
            evidence.add(key, report)
            write(RowWrite(key, Json.encodeToString(CrashReport.serializer(), report)))
            evaluate()
        }
    }

    private fun clear(segment: SegmentId) {
        val clearance = SegmentClearance(tableTimeMs())
        evidence.clear(segment, clearance.atTableTimeMs)
        write(RowWrite("$CLEARED_PREFIX$segment", Json.encodeToString(SegmentClearance.serializer(), clearance)))
        // A segment that explains no crashes changes nothing for the others, and many are cleared after a crash.
        if (segment in doubtful || responsible.any { segment in it.segments }) evaluate() else suspected -= segment
    }

    private fun apply(row: StoreRow) {
        val value = row.value?.decodeToString()
        try {
            when {
                row.key.startsWith(CRASH_PREFIX) ->
                    if (value == null) evidence.remove(row.key) else evidence.add(row.key, Json.decodeFromString(value))
                row.key.startsWith(CLEARED_PREFIX) && value != null -> {
                    val segment = row.key.removePrefix(CLEARED_PREFIX).toULong(HEXADECIMAL)
                    evidence.clear(SegmentId(segment.toLong()), Json.decodeFromString<SegmentClearance>(value).atTableTimeMs)
                }
            }
        } catch (exception: SerializationException) {
            log.warn("quarantine_row_unreadable", "key" to row.key, "error" to exception.message)
        } catch (exception: NumberFormatException) {
            log.warn("quarantine_row_unreadable", "key" to row.key, "error" to exception.message)
        }
    }

    private fun evaluate() {
        val before = responsible.toSet()
        responsible = evidence.responsibleSegments(workingSegments::contains)
        suspected = evidence.suspectedSegments()
        val doubtfulBefore = doubtful
        doubtful = evidence.doubtfulSegments(workingSegments::contains)
        if (doubtful != doubtfulBefore) log.warn("segments_doubtful", "segments" to doubtful.joinToString(","))
        for (added in responsible - before) {
            val durationMs = added.untilTableTimeMs - tableTimeMs()
            log.warn(
                "segments_quarantined",
                "segments" to added.segments.joinToString(","),
                "crashes" to added.crashCount,
                "for_ms" to durationMs,
            )
        }
        for (removed in before - responsible.toSet()) log.info("segments_released", "segments" to removed.segments.joinToString(","))
    }

    /** Commits [write] together with the removal of old reports. Repeats it while the table does not respond. */
    private suspend fun commit(write: RowWrite) {
        val expired =
            synchronized(lock) { evidence.removeBefore(tableTimeMs() - RETENTION_MS, responsible.flatMapTo(HashSet()) { it.segments }) }
        val writes = listOf(write) + expired.take(MAX_REMOVED_ROWS).map { RowWrite(it, null) }
        val transactionId = "quarantine-${self.routerId.value}-${self.incarnation}-${writeCount++}"
        val transaction = TableTransaction(transactionId, emptyList(), writes)
        repeat(MAX_WRITE_ATTEMPTS) {
            if (table.commit(transaction) is TableResult.Response) return
            delay(RETRY_DELAY_MS)
        }
        log.warn("quarantine_row_not_written", "key" to write.key, "attempts" to MAX_WRITE_ATTEMPTS)
    }

    private fun tableTimeMs(): Long = tableContact?.let { (tableTimeMs, atMs) -> tableTimeMs + clock.monotonicMs() - atMs } ?: 0

    private class BrokenAttempts(
        val server: BackendServer,
        val atTableTimeMs: Long,
    ) {
        val suspects = Suspects()
    }

    private companion object {
        private const val CRASH_PREFIX = "crash/"
        private const val CLEARED_PREFIX = "cleared/"
        private const val HEXADECIMAL = 16
        private const val RETRY_DELAY_MS = 400L

        /** The connections of a server that crashes break within a few milliseconds of each other. */
        private const val COLLECT_MS = 20L

        /** Crashes of sound servers that are further apart have nothing in common. */
        private const val RETENTION_MS = 3_600_000L
        private const val MAX_REMOVED_ROWS = 50

        /** A row that the table refuses must not hold back the ones after it for longer than reports matter. */
        private const val MAX_WRITE_ATTEMPTS = 150
        private const val MAX_PENDING_WRITES = 200

        /** Longer than a copy is old when the store comes back from it. */
        private const val MAX_LOST_MS = 120_000L
        private const val MAX_WORKING_SEGMENTS = 10_000
    }
}
