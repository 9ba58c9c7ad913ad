package org.lycheemount.origins

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
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
import org.lycheemount.platform.CommitOutcome
import org.lycheemount.platform.RowCheck
import org.lycheemount.platform.RowWrite
import org.lycheemount.platform.StoreEras
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableRow
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableSnapshot
import org.lycheemount.platform.TableTransaction
import kotlin.random.Random

/**
 * Origins that all routers share through a table of their own, so that they outlast the routers.
 *
 * A row for each service has the versions on which streams may have begun. A router writes or reads there that a version is open before
 * it begins streams on it, so a router that reads the row when a stream is resumed sees every version that the stream may have begun on.
 * If there are several, the records of streams tell which. They are written in batches after the streams have begun, and only while they
 * are needed: the first event of a stream does not wait for the table, and the origin of a stream whose record was lost is unknown.
 *
 * When the store has come back from an older copy, each router writes again what it knows: the versions in use and the records of streams
 * that it began. For [VersionHistory.RETENTION_MS] after that, a stream goes on only if there is a record of it, at any router.
 *
 * @param table table that holds origins and nothing else.
 * @param eras eras of the store that holds [table].
 * @param routerCount number of routers, which share the rate of writes.
 */
class SharedStreamOrigins(
    private val table: TableService,
    private val self: RouterIdentity,
    private val clock: Clock,
    private val log: EventLog,
    private val eras: StoreEras,
    private val routerCount: () -> Int,
) : StreamOrigins {
    private val lock = Any()
    private val random = Random(self.incarnation + self.routerId.value.hashCode())
    private val runId = "${self.routerId.value}/${self.incarnation}"
    private val book =
        OriginBook(
            runId,
            random,
            onUnreadableRow = { log.warn("stream_origins_unreadable", "key" to it) },
            onUnusableVersions = { serviceId, count ->
                log.warn("service_versions_unusable", "service" to serviceId.value, "versions" to count)
            },
        )
    private val reads = SharedRead(clock, MIN_READ_INTERVAL_MS, ::readTable)
    private val firstRead = CompletableDeferred<Unit>()
    private val versionChanges = Channel<Unit>(Channel.CONFLATED)
    private val newOrigins = Channel<Unit>(Channel.CONFLATED)
    private val obsoleteRows = LinkedHashSet<String>()
    private val lookups = HashMap<LookupOutcome, Long>()
    private var originsWritten = 0L
    private var failedCalls = 0L
    private var transactionCount = 0L
    private var isTableReachable = true
    private var restoredAtMs: Long? = null

    /** Table time of the last complete read; null before the first. */
    private var readAtTableTimeMs: Long? = null

    /** Whether the versions in use have been read; no streams begin before. */
    val isRead: Boolean get() = firstRead.isCompleted

    /** Counters and current sizes, for metrics. */
    val statistics: OriginStatistics
        get() =
            synchronized(lock) {
                OriginStatistics(book.openVersions, originsWritten, book.journal.waitingCount, failedCalls, lookups.toMap())
            }

    /** Starts to read and write the table in [scope]. */
    fun start(scope: CoroutineScope) {
        scope.launch { reads.run() }
        scope.launch { maintainVersions() }
        scope.launch { writeOrigins() }
        scope.launch { removeObsoleteRows() }
        scope.launch { eras.current.collect { noteEra() } }
    }

    /** Must be called before anything is concluded from a response of the table. */
    private fun noteEra(): Unit =
        synchronized(lock) {
            val era = eras.current.value ?: return
            if (!book.onStoreEra(era, clock.monotonicMs())) return
            restoredAtMs = clock.monotonicMs()
            readAtTableTimeMs = null
            recordIfNeeded()
            newOrigins.trySend(Unit)
            versionChanges.trySend(Unit)
            log.warn(
                "stream_origins_lost",
                "era" to era.value,
                "written_again" to book.journal.waitingCount,
                "versions" to book.openVersions,
            )
        }

    /** The platform lists [servers] now. */
    fun onBackendServers(servers: Collection<BackendServer>) {
        synchronized(lock) {
            book.onListed(servers, clock.monotonicMs())
            recordIfNeeded()
        }
        versionChanges.trySend(Unit)
    }

    override fun usableVersions(serviceId: ServiceId): Set<SoftwareVersion>? =
        synchronized(lock) { book.usableVersions(serviceId, clock.monotonicMs()) }

    override fun onStreamBegun(
        attemptId: CallerAttemptId,
        serviceId: ServiceId,
        version: SoftwareVersion,
    ) {
        val key = streamKeyOf(attemptId, serviceId)
        synchronized(lock) {
            book.onStreamBegun(key, serviceId, version, clock.monotonicMs())
            recordIfNeeded()
        }
    }

    override suspend fun originOf(
        attemptId: CallerAttemptId?,
        serviceId: ServiceId,
        patienceMs: Long,
    ): StreamOrigin {
        val startedAtMs = clock.monotonicMs()
        val key = attemptId?.let { streamKeyOf(it, serviceId) }
        val lookup = synchronized(lock) { book.findRemembered(key, serviceId) } ?: lookUp(key, serviceId, patienceMs)
        synchronized(lock) { lookups.merge(lookup.outcome, 1, Long::plus) }
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
        val recordedByMs = clock.monotonicMs() + writeIntervalMs() + RECORD_DELAY_MS
        var latest = OriginLookup(StreamOrigin.Unknown("the versions in use could not be read in time"), LookupOutcome.NOT_READ)
        withTimeoutOrNull(patienceMs) {
            while (true) {
                if (!reads.await()) continue
                latest = synchronized(lock) { book.findRead(key, serviceId, readAtTableTimeMs ?: 0, clock.monotonicMs()) }
                val writtenAgainByMs = synchronized(lock) { restoredAtMs }?.plus(WRITTEN_AGAIN_MS) ?: 0
                if (!latest.mayBeRecordedLater || clock.monotonicMs() >= maxOf(recordedByMs, writtenAgainByMs)) break
                delay(REREAD_DELAY_MS)
            }
        }
        return latest
    }

    private fun recordIfNeeded() {
        if (book.recordIfNeeded(clock.monotonicMs())) newOrigins.trySend(Unit)
    }

    private suspend fun maintainVersions() {
        while (!firstRead.isCompleted) if (!reads.await()) delay(retryDelayMs())
        while (true) {
            val nextAtMs = runVersionSteps()
            if (nextAtMs == null) {
                versionChanges.receive()
            } else {
                withTimeoutOrNull(nextAtMs - clock.monotonicMs()) { versionChanges.receive() }
            }
        }
    }

    /** Does what is due for the versions of services. Returns the monotonic time of the next step; null if none will be due by itself. */
    private suspend fun runVersionSteps(): Long? {
        while (true) {
            val steps = synchronized(lock) { book.nextSteps(clock.monotonicMs()) }
            val due = steps.firstOrNull { (_, step) -> step !is VersionStep.Wait }
            if (due == null) return steps.mapNotNull { (_, step) -> (step as VersionStep.Wait).untilMs }.minOrNull()
            val (serviceId, step) = due
            val isDone = if (step is VersionStep.Write) writeVersions(serviceId, step) else readAgain()
            if (!isDone) delay(retryDelayMs())
        }
    }

    /** Reads the table. After a return of the store, the routers do so one after the other, so that most find what others have written. */
    private suspend fun readAgain(): Boolean {
        val spreadMs = routerCount() * WRITE_INTERVAL_PER_ROUTER_MS
        val restored = synchronized(lock) { restoredAtMs }
        if (restored != null && clock.monotonicMs() - restored < spreadMs) delay(synchronized(lock) { random.nextLong(spreadMs) })
        return reads.await()
    }

    /** Writes the row of [serviceId], or takes over what another router has written. Returns false if nothing was learned. */
    private suspend fun writeVersions(
        serviceId: ServiceId,
        step: VersionStep.Write,
    ): Boolean {
        val key = OriginKeys.versions(serviceId)
        val value = encodeHistory(step.history)
        val transaction = TableTransaction(nextTransactionId(), listOf(RowCheck(key, step.expectedVersion)), listOf(RowWrite(key, value)))
        while (eras.current.value?.value == step.history.storeEra) {
            val calledAtMs = clock.monotonicMs()
            when (val result = table.commit(transaction)) {
                is TableResult.Response -> {
                    onVersionsDecided(serviceId, step, result.value, calledAtMs)
                    return true
                }
                is TableResult.Unavailable -> {
                    onCallFailed("versions", result.detail)
                    return false
                }
                // The transaction may take effect later, so nothing else is written before its outcome is known.
                is TableResult.Unknown -> onCallFailed("versions", result.detail)
            }
            delay(retryDelayMs())
        }
        noteEra()
        return true
    }

    private fun onVersionsDecided(
        serviceId: ServiceId,
        step: VersionStep.Write,
        outcome: CommitOutcome,
        calledAtMs: Long,
    ) {
        val key = OriginKeys.versions(serviceId)
        synchronized(lock) {
            val nowMs = clock.monotonicMs()
            when (outcome) {
                is CommitOutcome.Committed -> {
                    val row = TableRow(key, encodeHistory(step.history), outcome.versions[key] ?: 0)
                    onResponse(outcome.tableTimeMs)
                    book.onVersionsRow(serviceId, row, outcome.tableTimeMs, calledAtMs, nowMs)
                }
                is CommitOutcome.Conflict -> {
                    onResponse(outcome.tableTimeMs)
                    book.onVersionsRow(serviceId, outcome.current.firstOrNull { it.key == key }, outcome.tableTimeMs, calledAtMs, nowMs)
                }
            }
            recordIfNeeded()
        }
        val (open, closed) =
            step.history.uses.keys
                .partition(step.history::isOpen)
        log.info(
            "service_versions_written",
            "service" to serviceId.value,
            "open" to open.joinToString(",") { it.value },
            "closed" to closed.joinToString(",") { it.value },
            "by_another_router" to (outcome is CommitOutcome.Conflict),
        )
    }

    /** Reads all rows that may have changed since the last read. Returns false if the table did not respond. */
    private suspend fun readTable(): Boolean {
        val calledAtMs = clock.monotonicMs()
        val era = eras.current.value
        val readSinceMs = synchronized(lock) { readAtTableTimeMs }?.let { it - OriginJournal.ROW_DURATION_MS - MAX_WRITE_DELAY_MS }
        val absent = synchronized(lock) { book.serviceIds }.toMutableSet()
        var afterKey = readSinceMs?.let(OriginKeys::streams)
        while (true) {
            val page =
                when (val result = table.scan(OriginKeys.PREFIX, afterKey, PAGE_ROWS)) {
                    is TableResult.Response -> result.value
                    is TableResult.Unavailable -> return false.also { onCallFailed("read", result.detail) }
                    is TableResult.Unknown -> return false.also { onCallFailed("read", result.detail) }
                }
            synchronized(lock) {
                onResponse(page.tableTimeMs)
                if (era != null && era != eras.current.value) return false
                for (row in page.rows) book.onRow(row, page.tableTimeMs, calledAtMs, clock.monotonicMs())?.let(absent::remove)
                if (readSinceMs ==
                    null
                ) {
                    obsoleteRows += page.rows.map { it.key }.filter { isObsolete(it, page.tableTimeMs, self.routerId.value, runId) }
                }
            }
            if (page.isLast()) {
                synchronized(lock) { onRead(absent, page.tableTimeMs, calledAtMs) }
                return true
            }
            afterKey = page.rows.last().key
        }
    }

    private fun onRead(
        absentServices: Set<ServiceId>,
        tableTimeMs: Long,
        calledAtMs: Long,
    ) {
        for (serviceId in absentServices) book.onVersionsRow(serviceId, null, tableTimeMs, calledAtMs, clock.monotonicMs())
        readAtTableTimeMs = tableTimeMs
        recordIfNeeded()
        versionChanges.trySend(Unit)
        if (firstRead.complete(Unit)) {
            log.info("stream_origins_read", "streams" to book.recordedCount, "open_versions" to book.openVersions)
        }
    }

    /** Removes the rows that earlier runs of this router have left, once they are of no more use. */
    private suspend fun removeObsoleteRows() {
        firstRead.await()
        delay(OriginJournal.MAX_AGE_MS + OriginJournal.ROW_DURATION_MS)
        while (true) {
            val keys = synchronized(lock) { obsoleteRows.take(MAX_REMOVED_ROWS) }
            if (keys.isEmpty()) return
            val transaction = TableTransaction(nextTransactionId(), emptyList(), keys.map { RowWrite(it, null) })
            val result = table.commit(transaction)
            if (result is TableResult.Response) synchronized(lock) { obsoleteRows -= keys.toSet() } else delay(retryDelayMs())
        }
    }

    private suspend fun writeOrigins() {
        firstRead.await()
        while (true) {
            val startedAtMs = clock.monotonicMs()
            val untilNextMs = if (writeBatch()) untilNextBatchMs() else retryDelayMs()
            if (untilNextMs == null) {
                newOrigins.receive()
            } else {
                withTimeoutOrNull(untilNextMs) { newOrigins.receive() }
            }
            delay(startedAtMs + writeIntervalMs() - clock.monotonicMs())
        }
    }

    private fun untilNextBatchMs(): Long? =
        synchronized(lock) {
            val nowMs = clock.monotonicMs()
            if (book.journal.waitingCount > 0) return 0
            book.journal.deletionDueAtTableTimeMs?.let { it - (book.tableTimeMs(nowMs) ?: it) }
        }

    /** Writes what is due. Returns false if the table did not respond. */
    private suspend fun writeBatch(): Boolean {
        val nowMs = clock.monotonicMs()
        val batch = synchronized(lock) { book.tableTimeMs(nowMs)?.let { book.journal.nextBatch(it, nowMs) } } ?: return true
        val transaction = TableTransaction(nextTransactionId(), emptyList(), batch.writes)
        when (val result = table.commit(transaction)) {
            is TableResult.Response ->
                synchronized(lock) {
                    (result.value as? CommitOutcome.Committed)?.let { onResponse(it.tableTimeMs) }
                    book.journal.onCommitted(batch)
                    originsWritten += batch.origins.size
                }
            is TableResult.Unavailable -> {
                synchronized(lock) { book.journal.onFailed(batch, mayTakeEffect = false) }
                onCallFailed("streams", result.detail)
                return false
            }
            is TableResult.Unknown -> {
                synchronized(lock) { book.journal.onFailed(batch, mayTakeEffect = true) }
                onCallFailed("streams", result.detail)
                return false
            }
        }
        return true
    }

    private fun onResponse(tableTimeMs: Long) {
        noteEra()
        book.onResponse(tableTimeMs, clock.monotonicMs())
        if (!isTableReachable) log.info("stream_origins_reachable", "waiting" to book.journal.waitingCount)
        isTableReachable = true
    }

    private fun onCallFailed(
        call: String,
        detail: String,
    ) = synchronized(lock) {
        failedCalls++
        if (isTableReachable) log.warn("stream_origins_unreachable", "call" to call, "detail" to detail)
        isTableReachable = false
    }

    private fun nextTransactionId(): String =
        synchronized(lock) { "origins-${self.routerId.value}-${self.incarnation}-${transactionCount++}" }

    private fun writeIntervalMs(): Long = maxOf(MIN_WRITE_INTERVAL_MS, routerCount() * WRITE_INTERVAL_PER_ROUTER_MS)

    private fun retryDelayMs(): Long = RETRY_DELAY_MS + synchronized(lock) { random.nextLong(RETRY_SPREAD_MS) }

    private companion object {
        /** Bounds the rate of the fleet's writes to 250 a second. */
        private const val WRITE_INTERVAL_PER_ROUTER_MS = 4L
        private const val MIN_WRITE_INTERVAL_MS = 50L
        private const val MIN_READ_INTERVAL_MS = 100L
        private const val REREAD_DELAY_MS = 200L

        /** Time after its write interval in which the record of another router is in the table. */
        private const val RECORD_DELAY_MS = 100L

        /** Time in which all routers that reach the store notice that it has come back, and write their records again. */
        private const val WRITTEN_AGAIN_MS = 2_000L
        private const val RETRY_DELAY_MS = 300L
        private const val RETRY_SPREAD_MS = 200L

        /** A row may be written for so long after it was begun and filled, if the table is slow. */
        private const val MAX_WRITE_DELAY_MS = 5_000L
        private const val MAX_REMOVED_ROWS = 80
    }
}

/** A page may also end before its limit of rows, because of its size. */
private fun TableSnapshot.isLast() = rows.size < PAGE_ROWS && rows.sumOf { it.value.length } < PAGE_CHARS

private const val PAGE_ROWS = 200
private const val PAGE_CHARS = 300_000

/** Whether the row of streams under [key] is of no more use once the last streams of its time have ended. */
private fun isObsolete(
    key: String,
    tableTimeMs: Long,
    routerId: String,
    runId: String,
): Boolean {
    if (!key.startsWith(OriginKeys.STREAMS)) return false
    val begunAtTableTimeMs = OriginKeys.tableTimeMs(key) ?: return true
    val isOfEarlierRun = "/$routerId/" in key && "/$runId/" !in key
    return isOfEarlierRun || tableTimeMs - begunAtTableTimeMs > ABANDONED_AFTER_MS
}

private const val ABANDONED_AFTER_MS = 600_000L
