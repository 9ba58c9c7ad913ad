package org.lycheemount.origins

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterIdentity
import org.lycheemount.platform.StoreEras
import kotlin.random.Random

/**
 * What the tasks of [SharedStreamOrigins] have in common: the [OriginBook] with the lock that guards it, and what is known of the table.
 * Does no I/O. Thread-safe.
 *
 * @param eras eras of the store that holds the table.
 * @param routerCount number of routers, which share the rate of writes.
 */
internal class OriginState(
    private val self: RouterIdentity,
    private val clock: Clock,
    private val log: EventLog,
    private val eras: StoreEras,
    private val routerCount: () -> Int,
) {
    private val lock = Any()
    private val random = Random(self.incarnation + self.routerId.value.hashCode())

    /** Identifies this run of this router. */
    val runId: String = self.processName

    private val book =
        OriginBook(
            runId,
            random,
            onUnreadableRow = { log.warn("stream_origins_unreadable", "key" to it) },
            onUnusableVersions = { serviceId, count ->
                log.warn("service_versions_unusable", "service" to serviceId.value, "versions" to count)
            },
        )
    private val firstRead = CompletableDeferred<Unit>()
    private var failedCallCount = 0L
    private var transactionCount = 0L
    private var isTableReachable = true
    private var restored: Long? = null
    private var readAt: Long? = null

    /** Signals that the steps for the versions of services may have changed. */
    val versionChanges: Channel<Unit> = Channel(Channel.CONFLATED)

    /** Signals that there are origins to be written. */
    val newOrigins: Channel<Unit> = Channel(Channel.CONFLATED)

    /** Signals that there are origins to be copied to a peer. */
    val newCopies: Channel<Unit> = Channel(Channel.CONFLATED)

    /** Whether the table has been read completely. */
    val isRead: Boolean get() = firstRead.isCompleted

    /** Number of calls of the table that failed. */
    val failedCalls: Long get() = synchronized(lock) { failedCallCount }

    /** Monotonic time at which the store was last noticed to have come back from an older copy; null if it never was. */
    val restoredAtMs: Long? get() = synchronized(lock) { restored }

    /** Table time of the last complete read in the current era of the store; null before the first. */
    val readAtTableTimeMs: Long? get() = synchronized(lock) { readAt }

    /** Runs [block] on the book, under the lock. */
    inline fun <T> withBook(block: (OriginBook) -> T): T = synchronized(lock) { block(book) }

    /** Waits until the table has been read completely. */
    suspend fun awaitFirstRead() = firstRead.await()

    /** Must be called before anything is concluded from a response of the table. */
    fun noteEra(): Unit =
        synchronized(lock) {
            val era = eras.current.value ?: return
            if (!book.onStoreEra(era, clock.monotonicMs())) return
            restored = clock.monotonicMs()
            readAt = null
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

    /** Moves origins that have to be written to the journal, and signals it. */
    fun recordIfNeeded(): Unit =
        synchronized(lock) {
            if (book.recordIfNeeded(clock.monotonicMs())) newOrigins.trySend(Unit)
        }

    /** The table responded now, at [tableTimeMs] of its own time. */
    fun onResponse(tableTimeMs: Long): Unit =
        synchronized(lock) {
            noteEra()
            book.onResponse(tableTimeMs, clock.monotonicMs())
            if (!isTableReachable) log.info("stream_origins_reachable", "waiting" to book.journal.waitingCount)
            isTableReachable = true
        }

    /** A [call] of the table failed, or its outcome is unknown. */
    fun onCallFailed(
        call: String,
        detail: String,
    ): Unit =
        synchronized(lock) {
            failedCallCount++
            if (isTableReachable) log.warn("stream_origins_unreachable", "call" to call, "detail" to detail)
            isTableReachable = false
            newCopies.trySend(Unit)
        }

    /** Returns up to [limit] origins that a peer is to keep, and as many that it is to write, and counts them as sent. */
    fun takeCopies(limit: Int): OriginCopyBatch =
        synchronized(lock) { book.copies.take(limit, if (isTableReachable) emptyList() else book.journal.notHandedOver) }

    /** [batch] has not reached the peer. */
    fun putBackCopies(batch: OriginCopyBatch): Unit = synchronized(lock) { book.copies.putBack(batch) }

    /** The peer has taken [batch]. */
    fun onHandedOver(batch: OriginCopyBatch): Unit = synchronized(lock) { batch.unwritten.forEach { it.isHandedOver = true } }

    /** A peer that has none of this router's copies is to get them. */
    fun copyAllAgain(): Unit = synchronized(lock) { book.copyAllAgain(clock.monotonicMs()) }

    /** A peer has sent [copies] of origins of its streams. */
    fun onPeerCopies(copies: List<OriginCopy>): Unit =
        synchronized(lock) {
            if (copies.count { book.onPeerCopy(it, clock.monotonicMs()) } > 0) newOrigins.trySend(Unit)
        }

    /** The table was read completely, up to [tableTimeMs]. */
    fun onRead(tableTimeMs: Long): Unit =
        synchronized(lock) {
            readAt = tableTimeMs
            recordIfNeeded()
            versionChanges.trySend(Unit)
            if (firstRead.complete(Unit)) {
                log.info("stream_origins_read", "streams" to book.recordedCount, "open_versions" to book.openVersions)
            }
        }

    /** Returns an id that no other transaction has. */
    fun nextTransactionId(): String = synchronized(lock) { "origins-${self.routerId.value}-${self.incarnation}-${transactionCount++}" }

    /** Least time between two writes of origins by this router, in milliseconds. */
    fun writeIntervalMs(): Long = maxOf(MIN_WRITE_INTERVAL_MS, fleetWriteMs())

    /** Time in which each router may write once, in milliseconds. */
    fun fleetWriteMs(): Long = routerCount() * WRITE_INTERVAL_PER_ROUTER_MS

    /** Least time between two messages with copies of origins, in milliseconds. */
    fun copyIntervalMs(): Long = withBook { if (it.isRecording(clock.monotonicMs())) MIN_WRITE_INTERVAL_MS else CALM_COPY_INTERVAL_MS }

    /** Delay before a failed call is repeated, in milliseconds. */
    fun retryDelayMs(): Long = RETRY_DELAY_MS + randomMs(RETRY_SPREAD_MS)

    /** Returns a random duration in milliseconds, less than [untilMs]. */
    fun randomMs(untilMs: Long): Long = synchronized(lock) { random.nextLong(untilMs) }

    private companion object {
        /** Bounds the rate of the fleet's writes to 250 a second. */
        private const val WRITE_INTERVAL_PER_ROUTER_MS = 4L
        private const val MIN_WRITE_INTERVAL_MS = 50L
        private const val CALM_COPY_INTERVAL_MS = 500L
        private const val RETRY_DELAY_MS = 300L
        private const val RETRY_SPREAD_MS = 200L
    }
}
