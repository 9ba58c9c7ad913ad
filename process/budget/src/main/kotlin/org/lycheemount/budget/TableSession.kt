package org.lycheemount.budget

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.lycheemount.common.Clock
import org.lycheemount.platform.CommitOutcome
import org.lycheemount.platform.StoreEra
import org.lycheemount.platform.StoreEras
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableRow
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableSnapshot
import org.lycheemount.platform.TableTransaction

/** Outcome of a transaction in the rows of one era; [committed] is null if they do not contain its effect. */
internal class FoundOutcome(
    val committed: CommitOutcome.Committed?,
)

/** Result of a commit after all attempts to determine its outcome. */
internal sealed interface CommitResult {
    data class Committed(
        val versions: Map<String, Long>,
    ) : CommitResult

    /** This attempt wrote nothing; [current] may show the effect of an earlier attempt with the same id. */
    data class Conflict(
        val current: List<TableRow>,
    ) : CommitResult

    data object NoEffect : CommitResult

    /** The transaction may have been committed, or may still be. */
    data object Unresolved : CommitResult
}

/**
 * Calls the table and records the time of the last response by both clocks. Used by one coroutine at a time.
 *
 * @param startedAtMs monotonic time at which this process was already running.
 */
internal class TableSession(
    private val table: TableService,
    private val clock: Clock,
    transactionPrefix: String,
    private val startedAtMs: Long = clock.monotonicMs(),
    private val eras: StoreEras = UnstatedEras,
) {
    private val prefix = "$transactionPrefix-"
    private var transactionCount = 0L

    /** Last response that this router received; null before the first. */
    @Volatile
    var lastContact: TableContact? = null
        private set

    /** Era of the store whose time [lastContact] has. A store that has come back may state earlier times than before. */
    private var lastContactEra: StoreEra? = null

    /**
     * Table time before which this process was running; null before the first response to a read. The table made that response after
     * the read was sent, so the time from the start of the process to the read can be subtracted from it.
     */
    @Volatile
    var startedBeforeTableTimeMs: Long? = null
        private set

    /**
     * Era of the rows that this router knows; null while the store has stated none. Responses of another era count as missing until the
     * router [enters][enterLatestEra] it.
     */
    @Volatile
    var era: StoreEra? = eras.current.value
        private set

    private var hasCommitted = false
    private var hasChangedEra = false

    /** Number of [era] for rows; 0 for none. */
    val eraNumber: Long get() = era?.value ?: 0

    /** Whether the latest response of the store is of the session's era. The first one is entered if nothing was written before. */
    fun isInLatestEra(): Boolean {
        if (era == null && !hasCommitted) era = eras.current.value
        return era == eras.current.value
    }

    /** Enters the era of the latest response of the store. Rows of earlier eras count as restored from a copy from then on. */
    fun enterLatestEra() {
        hasChangedEra = true
        era = eras.current.value
    }

    /**
     * Whether a row of [rowEra] was not restored from a copy since. Rows without an era were written before the store stated one; they
     * count as restored once this process has seen a change.
     */
    fun isCurrent(rowEra: Long): Boolean = rowEra == eraNumber || (rowEra == 0L && !hasChangedEra)

    fun nextTransactionId(): String = prefix + transactionCount++

    suspend fun read(keys: List<String>): TableSnapshot? {
        val sentAtMs = clock.monotonicMs()
        return table.read(keys).snapshot(sentAtMs)
    }

    /** Reads the rows under [keys] with a call for each, which a table handles without a transaction. They are not of one moment. */
    suspend fun readEach(keys: List<String>): TableSnapshot? {
        val sentAtMs = clock.monotonicMs()
        val results = coroutineScope { keys.map { async { table.read(listOf(it)) } }.awaitAll() }
        val snapshots = results.map { (it as? TableResult.Response ?: return null).value }
        val oldestMs = snapshots.minOfOrNull { it.tableTimeMs } ?: return null
        return TableResult.Response(TableSnapshot(snapshots.flatMap { it.rows }, oldestMs)).snapshot(sentAtMs)
    }

    suspend fun scan(
        prefix: String,
        afterKey: String?,
    ): TableSnapshot? {
        val sentAtMs = clock.monotonicMs()
        return table.scan(prefix, afterKey).snapshot(sentAtMs)
    }

    /** Returns all rows under [prefix], or null when a page could not be read. */
    suspend fun scanAll(prefix: String): List<TableRow>? {
        val rows = mutableListOf<TableRow>()
        while (true) {
            val page = scan(prefix, rows.lastOrNull()?.key) ?: return null
            rows += page.rows
            if (page.rows.size < TableService.DEFAULT_SCAN_LIMIT) return rows
        }
    }

    /** Commits [transaction]. Its outcome is unknown if the store changes its era meanwhile: what it has written may be gone. */
    suspend fun commit(transaction: TableTransaction): CommitResult {
        hasCommitted = true
        val result = table.commit(transaction.checkedInEra(era))
        if (!isInLatestEra()) return CommitResult.Unresolved
        return when (result) {
            is TableResult.Response -> toCommitResult(result.value)
            is TableResult.Unavailable -> CommitResult.NoEffect
            is TableResult.Unknown -> resolve(transaction)
        }
    }

    /** Returns the outcome of [transactionId] in the rows of this era, or null when the table did not respond in it. */
    suspend fun findOutcome(transactionId: String): FoundOutcome? {
        val found = table.findTransaction(transactionId)
        if (found !is TableResult.Response || !isInLatestEra()) return null
        return FoundOutcome(found.value.outcome as? CommitOutcome.Committed)
    }

    /**
     * Determines the outcome of [transaction] after a lost response. If the table does not know its id, the transaction is sent again
     * under the same id: the first attempt may still be in flight, and it can only be ruled out once the id has an outcome.
     */
    suspend fun resolve(transaction: TableTransaction): CommitResult {
        repeat(RESOLVE_ATTEMPTS) { attempt ->
            if (attempt > 0) delay(RESOLVE_DELAY_MS)
            val found = table.findTransaction(transaction.transactionId)
            if (!isInLatestEra()) return CommitResult.Unresolved
            if (found is TableResult.Response) {
                recordContact(found.value.tableTimeMs)
                found.value.outcome?.let { return toCommitResult(it) }
                val retried = table.commit(transaction.checkedInEra(era))
                if (!isInLatestEra()) return CommitResult.Unresolved
                if (retried is TableResult.Response) return toCommitResult(retried.value)
            }
        }
        return CommitResult.Unresolved
    }

    private fun toCommitResult(outcome: CommitOutcome): CommitResult =
        when (outcome) {
            is CommitOutcome.Committed -> CommitResult.Committed(outcome.versions).also { recordContact(outcome.tableTimeMs) }
            is CommitOutcome.Conflict -> CommitResult.Conflict(outcome.current).also { recordContact(outcome.tableTimeMs) }
        }

    private fun TableResult<TableSnapshot>.snapshot(sentAtMs: Long): TableSnapshot? {
        if (this !is TableResult.Response || !isInLatestEra()) return null
        if (startedBeforeTableTimeMs == null) startedBeforeTableTimeMs = value.tableTimeMs - (sentAtMs - startedAtMs)
        recordContact(value.tableTimeMs)
        return value
    }

    private fun recordContact(tableTimeMs: Long) {
        // The lookup of a transaction returns the time of its outcome, which may be older than the last contact.
        val last = lastContact
        if (last != null && lastContactEra == era && tableTimeMs <= last.tableTimeMs) return
        lastContact = TableContact(tableTimeMs, clock.monotonicMs())
        lastContactEra = era
    }

    private companion object {
        private const val RESOLVE_ATTEMPTS = 2
        private const val RESOLVE_DELAY_MS = 50L
    }
}
