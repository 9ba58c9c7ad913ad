package org.lycheemount.origins

import org.lycheemount.common.SoftwareVersion
import org.lycheemount.platform.RowWrite

/**
 * Origins of streams that one run of a router has to write, and the rows that it has written. Does no I/O; not thread-safe.
 *
 * A row is written again with more streams until it is full or [ROW_DURATION_MS] old. A row whose write may still take effect later is
 * never written again, so that no later content is lost.
 *
 * @param runId part of the keys that no other run uses.
 */
internal class OriginJournal(
    private val runId: String,
) {
    private val waiting = ArrayDeque<WaitingOrigin>()
    private val writtenRows = ArrayDeque<StreamRow>()
    private var currentRow: StreamRow? = null
    private var rowCount = 0

    /** Number of streams whose origins have not been written. */
    val waitingCount: Int get() = waiting.size

    /** Table time at which the oldest written row is to be deleted; null if there is none. */
    val deletionDueAtTableTimeMs: Long?
        get() = (writtenRows.firstOrNull() ?: currentRow?.takeIf { it.isWritten })?.let { it.begunAtTableTimeMs + DELETE_AFTER_MS }

    /** Origins of this router's own streams that wait to be written and that no peer has been asked to write. */
    val notHandedOver: List<WaitingOrigin> get() = waiting.filterNot { it.isOfPeer || it.isHandedOver }

    /** Adds [origin]. */
    fun add(origin: WaitingOrigin) {
        waiting += origin
        if (waiting.size > MAX_WAITING) waiting.removeFirst()
    }

    /** Returns the writes that are due, or null if there are none. Must be followed by [onCommitted] or [onFailed]. */
    fun nextBatch(
        tableTimeMs: Long,
        nowMs: Long,
    ): OriginBatch? {
        waiting.removeIf { nowMs - it.atMs > MAX_AGE_MS }
        val rows = LinkedHashSet<StreamRow>()
        val origins = ArrayList<WaitingOrigin>()
        while (waiting.isNotEmpty()) {
            val row = rowForNext(tableTimeMs)
            if (row !in rows && rows.size == MAX_ROWS) break
            rows += row
            val origin = waiting.removeFirst()
            row.origins += origin
            origins += origin
        }
        if (isOld(currentRow, tableTimeMs)) retireCurrentRow()
        val deleted = writtenRows.filter { tableTimeMs - it.begunAtTableTimeMs >= DELETE_AFTER_MS }.take(MAX_DELETED_ROWS)
        if (rows.isEmpty() && deleted.isEmpty()) return null
        val writes =
            rows.map { RowWrite(it.key, encodeStreams(it.origins.groupBy(WaitingOrigin::version, WaitingOrigin::key))) } +
                deleted.map { RowWrite(it.key, null) }
        return OriginBatch(writes, origins, rows, deleted)
    }

    /** The peer that was asked to write records is gone. */
    fun onReplicaPeerLost() = waiting.forEach { it.isHandedOver = false }

    /** [batch] has taken effect. */
    fun onCommitted(batch: OriginBatch) {
        batch.rows.forEach { it.isWritten = true }
        writtenRows.removeAll(batch.deleted.toSet())
    }

    /** [batch] has failed; [mayTakeEffect] if it may have been or may yet be applied. */
    fun onFailed(
        batch: OriginBatch,
        mayTakeEffect: Boolean,
    ) {
        if (mayTakeEffect) batch.rows.forEach { it.isWritten = true }
        retireCurrentRow()
        writtenRows.removeIf { !it.isWritten }
        waiting.addAll(0, batch.origins)
    }

    /**
     * Rows that were written may be gone. Their origins are to be written once more, in new rows: other routers may have read the table up
     * to a time after that of the old ones.
     */
    fun writeAgain() {
        retireCurrentRow()
        val again = writtenRows.flatMap { it.origins }
        writtenRows.forEach { it.origins.clear() }
        waiting.addAll(0, again)
        repeat(waiting.size - MAX_WAITING) { waiting.removeFirst() }
    }

    private fun rowForNext(tableTimeMs: Long): StreamRow {
        val current = currentRow
        if (current != null && current.origins.size < MAX_STREAMS_PER_ROW && !isOld(current, tableTimeMs)) return current
        retireCurrentRow()
        val row = StreamRow("${OriginKeys.streams(tableTimeMs)}/$runId/${rowCount++}", tableTimeMs)
        currentRow = row
        return row
    }

    private fun isOld(
        row: StreamRow?,
        tableTimeMs: Long,
    ) = row != null && tableTimeMs - row.begunAtTableTimeMs >= ROW_DURATION_MS

    private fun retireCurrentRow() {
        currentRow?.let { writtenRows += it }
        currentRow = null
    }

    /** Limits and durations of rows. */
    companion object {
        /** Longest time for which the origin of a stream is kept, in milliseconds. */
        const val MAX_AGE_MS: Long = 60_000

        /** Longest time for which one row gets further streams, in milliseconds. */
        const val ROW_DURATION_MS: Long = 5_000
        private const val DELETE_AFTER_MS = MAX_AGE_MS + ROW_DURATION_MS
        private const val MAX_STREAMS_PER_ROW = 128
        private const val MAX_ROWS = 40
        private const val MAX_DELETED_ROWS = 40
        private const val MAX_WAITING = 20_000
    }
}

/** Writes of one transaction of an [OriginJournal]. */
internal class OriginBatch(
    val writes: List<RowWrite>,
    val origins: List<WaitingOrigin>,
    val rows: Set<StreamRow>,
    val deleted: List<StreamRow>,
)

/**
 * A stream whose origin has not been written.
 *
 * @property atMs monotonic time at which the stream began.
 * @property isOfPeer whether another router began the stream.
 */
internal class WaitingOrigin(
    val key: StreamKey,
    val version: SoftwareVersion,
    val atMs: Long,
    val isOfPeer: Boolean = false,
) {
    /** Whether a peer has been asked to write the record. */
    var isHandedOver = false
}

/** A row of streams. */
internal class StreamRow(
    val key: String,
    val begunAtTableTimeMs: Long,
) {
    val origins = ArrayList<WaitingOrigin>()
    var isWritten = false
}
