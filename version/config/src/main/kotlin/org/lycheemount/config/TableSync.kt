package org.lycheemount.config

import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableService

/** Updates the replica to the head sequence of the table. Only one synchronization runs at a time. */
internal class TableSync(
    private val table: TableService,
    private val replica: ConfigurationReplica,
    private val clock: Clock,
    private val log: EventLog,
) {
    private val lock = Mutex()
    private var lastReportedState: TableSyncState = TableSyncState.NeverRead

    /** Monotonic time at which the table last confirmed the active configuration; null if it never did. */
    @Volatile
    var confirmedAtMs: Long? = null
        private set

    /** Reason of the last failure; null after a success. */
    @Volatile
    var lastFailure: String? = "the table has not been read yet"
        private set

    @Volatile
    private var headSequence = -1L

    fun syncState(): TableSyncState {
        if (headSequence < 0) return TableSyncState.NeverRead
        val lost = replica.itemsLostByTable()
        return if (lost.isEmpty()) TableSyncState.InSync else TableSyncState.Restored(headSequence, lost)
    }

    /** Reads the head row and all changes after the local sequence; returns false if the table did not respond. */
    suspend fun sync(): Boolean =
        lock.withLock {
            // Taken before the read: a change that arrives meanwhile must not make the table appear to be behind this router.
            val localSequence = replica.sequence
            val failure =
                when (val head = table.read(listOf(HEAD_KEY))) {
                    is TableResult.Response -> catchUp(head.value.find(HEAD_KEY)?.toHead() ?: HeadRow(0, ""), localSequence)
                    is TableResult.Unavailable -> head.detail
                    is TableResult.Unknown -> head.detail
                }
            lastFailure = failure
            if (failure == null) confirm()
            failure == null
        }

    private suspend fun catchUp(
        head: HeadRow,
        localSequence: Long,
    ): String? {
        headSequence = head.sequence
        if (!replica.isLoaded) return readAllItems(head)
        if (head.sequence < localSequence) replica.onTableBehind(head.sequence)
        return if (head.sequence <= replica.sequence) null else readChanges(head)
    }

    private suspend fun readChanges(head: HeadRow): String? {
        while (replica.sequence < head.sequence) {
            val page = table.scan(CHANGE_PREFIX, changeRowKey(replica.sequence), CHANGES_PER_SCAN)
            if (page !is TableResult.Response) return "the table did not respond to a scan of changes"
            val outcomes = page.value.rows.map { replica.apply(it.toChange()) }
            if (ApplyOutcome.Applied !in outcomes) return readAllItems(head)
        }
        return null
    }

    private suspend fun readAllItems(head: HeadRow): String? {
        var after: String? = null
        do {
            val page = table.scan(ITEM_PREFIX, after, ITEMS_PER_SCAN)
            if (page !is TableResult.Response) return "the table did not respond to a scan of items"
            replica.merge(page.value.rows.map { it.toItem() })
            after =
                page.value.rows
                    .lastOrNull()
                    ?.key
        } while (page.value.rows.size == ITEMS_PER_SCAN)
        replica.markComplete(head.sequence, head.changeId)
        return null
    }

    private fun confirm() {
        confirmedAtMs = clock.monotonicMs()
        val currentState = syncState()
        if (currentState == lastReportedState) return
        lastReportedState = currentState
        if (currentState is TableSyncState.Restored) {
            val localSequence = replica.sequence
            log.warn(
                "configuration_table_restored",
                "head_sequence" to currentState.headSequence,
                "held_sequence" to localSequence,
                "lost_items" to currentState.lostItems.size,
            )
        }
    }

    private companion object {
        private const val CHANGES_PER_SCAN = 200
        private const val ITEMS_PER_SCAN = 500
    }
}
