package org.lycheemount.config

import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.common.EventLog
import org.lycheemount.platform.CommitOutcome
import org.lycheemount.platform.RowCheck
import org.lycheemount.platform.RowWrite
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableRow
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableSnapshot
import org.lycheemount.platform.TableTransaction
import java.security.MessageDigest
import java.util.UUID
import kotlin.random.Random

/**
 * Configuration store backed by the platform's table.
 *
 * Every change checks and writes the head row, so changes are totally ordered. A row for each change id makes a change
 * idempotent across transactions, routers and repeated requests.
 *
 * @param onAccepted called with each change that the table accepted from this router.
 */
internal class DefaultConfigurationStore(
    private val table: TableService,
    private val replica: ConfigurationReplica,
    private val sync: TableSync,
    private val log: EventLog,
    private val random: Random,
    private val onAccepted: (ConfigurationChange) -> Unit,
) : ConfigurationStore {
    private val lock = Mutex()

    override suspend fun change(request: ChangeRequest): ChangeOutcome {
        val errors = validate(request)
        if (errors.isNotEmpty()) return ChangeOutcome.Invalid(errors)
        return lock.withLock { retryUntilDecided { attempt(request) } }
    }

    override suspend fun republish(
        changeId: String,
        operator: String,
    ): ChangeOutcome {
        if (!isValidId(changeId)) return ChangeOutcome.Invalid(listOf(FieldError("changeId", ID_FORMAT_DESCRIPTION)))
        return lock.withLock {
            var part = 0
            var outcome: ChangeOutcome
            do {
                outcome = retryUntilDecided { attemptRepublish("$changeId.${part++}", operator) }
            } while (outcome is ChangeOutcome.Accepted && replica.itemsLostByTable().isNotEmpty() && part < MAX_REPUBLISH_PARTS)
            outcome
        }
    }

    override suspend fun history(
        afterSequence: Long,
        limit: Int,
    ): TableResult<List<ConfigurationChange>> =
        when (val page = table.scan(CHANGE_PREFIX, changeRowKey(afterSequence), limit)) {
            is TableResult.Response -> TableResult.Response(page.value.rows.map { it.toChange() })
            is TableResult.Unavailable -> page
            is TableResult.Unknown -> page
        }

    private fun validate(request: ChangeRequest): List<FieldError> {
        if (!isValidId(request.changeId)) return listOf(FieldError("changeId", ID_FORMAT_DESCRIPTION))
        if (request.edits.size !in 1..MAX_EDITS) return listOf(FieldError("edits", "list of 1 to $MAX_EDITS edits"))
        val repeatedKeys =
            request.edits
                .groupBy { it.key }
                .filterValues { it.size > 1 }
                .keys
        val prefix = { edit: ItemEdit -> if (request.edits.size == 1) "" else "${edit.key}." }
        return repeatedKeys.map { FieldError("$it", "at most one edit of each item") } +
            request.edits.flatMap { edit ->
                val body = edit.body
                when {
                    body == null && !isValidId(edit.key.id) -> listOf(FieldError("id", ID_FORMAT_DESCRIPTION))
                    body == null -> emptyList()
                    else -> validateItem(edit.key, body).map { it.copy(field = prefix(edit) + it.field) }
                }
            }
    }

    private suspend fun retryUntilDecided(attempt: suspend () -> ChangeOutcome?): ChangeOutcome {
        repeat(MAX_ATTEMPTS) { number ->
            attempt()?.let { return it }
            // Another change was committed first. A random delay keeps competing routers from colliding again.
            delay(random.nextLong(INITIAL_RETRY_DELAY_MS shl minOf(number, MAX_RETRY_DOUBLINGS)))
        }
        return ChangeOutcome.Unavailable("$MAX_ATTEMPTS attempts conflicted with other changes")
    }

    /** Returns null if another change was accepted in the meantime and the attempt must be repeated. */
    private suspend fun attempt(request: ChangeRequest): ChangeOutcome? {
        val rows = readCurrent(listOf(changeIdRowKey(request.changeId)) + request.edits.map { itemRowKey(it.key) })
        if (rows == null) return ChangeOutcome.Unavailable(sync.lastFailure ?: "the table did not respond to a read")
        val hash = contentHash(request)
        rows.find(changeIdRowKey(request.changeId))?.toChangeIdRow()?.let { return outcomeOfRepeat(it, hash) }
        if ((rows.find(HEAD_KEY)?.toHead()?.sequence ?: 0) > replica.sequence) return null
        checkPreconditions(request, rows)?.let { return it }
        val change =
            newChange(request.changeId, request.operator, rows) { sequence ->
                request.edits.map { ConfigurationItem(it.key, sequence, it.body) }
            }
        return commit(change, rows, hash)
    }

    private suspend fun readCurrent(keys: List<String>): TableSnapshot? {
        if (!sync.sync()) return null
        return (table.read(listOf(HEAD_KEY) + keys) as? TableResult.Response)?.value
    }

    private fun checkPreconditions(
        request: ChangeRequest,
        rows: TableSnapshot,
    ): ChangeOutcome? {
        val current = request.edits.associate { it.key to (rows.find(itemRowKey(it.key))?.toItem()?.version ?: 0L) }
        if (request.edits.any { current[it.key] != it.expectedVersion }) return ChangeOutcome.Conflict(current)
        val broken = brokenReferences(request)
        return if (broken.isEmpty()) null else ChangeOutcome.Invalid(broken)
    }

    private suspend fun attemptRepublish(
        changeId: String,
        operator: String,
    ): ChangeOutcome? {
        val changeIdKey = changeIdRowKey(changeId)
        val localItems = replica.itemsLostByTable().take(MAX_EDITS).mapNotNull { replica.find(it) }
        val rows = readCurrent(listOf(changeIdKey) + localItems.map { itemRowKey(it.key) })
        if (rows == null) return ChangeOutcome.Unavailable(sync.lastFailure ?: "the table did not respond to a read")
        rows.find(changeIdKey)?.toChangeIdRow()?.let { return ChangeOutcome.Accepted(it.sequence) }
        val lost = localItems.filter { it.version > (rows.find(itemRowKey(it.key))?.toItem()?.version ?: 0) }
        replica.markPresentInTable(localItems.map { it.key } - lost.map { it.key }.toSet())
        if (lost.isEmpty()) return ChangeOutcome.Accepted(replica.sequence)
        val change = newChange(changeId, operator, rows) { sequence -> lost.map { it.copy(version = sequence) } }.copy(isRepublished = true)
        return commit(change, rows, contentHash = "republish")
    }

    private fun outcomeOfRepeat(
        row: ChangeIdRow,
        contentHash: String,
    ): ChangeOutcome =
        if (row.contentHash == contentHash) {
            ChangeOutcome.Accepted(row.sequence)
        } else {
            ChangeOutcome.Invalid(listOf(FieldError("changeId", "an id that no other change has used")))
        }

    private fun brokenReferences(request: ChangeRequest): List<FieldError> {
        val edited = request.edits.associateBy { it.key }
        val exists = { key: ItemKey -> (edited[key]?.let { it.body } ?: replica.find(key)?.body?.takeIf { key !in edited }) != null }
        val editErrors = request.edits.flatMap { edit -> edit.body?.let { validateReferences(edit.key, it, exists) }.orEmpty() }
        val deleted =
            request.edits
                .filter { it.body == null && it.key.kind == ItemKind.WORK_CLASS }
                .map { it.key.id }
                .toSet()
        if (deleted.isEmpty()) return editErrors
        val referencingItems =
            replica.page(null, Int.MAX_VALUE).filter {
                it.key !in edited && it.body != null &&
                    referencedWorkClassId(it.body) in deleted
            }
        return editErrors +
            referencingItems.map {
                FieldError(
                    "class/${referencedWorkClassId(it.body!!)}",
                    "a class that no item references; ${it.key} references it",
                )
            }
    }

    private fun newChange(
        changeId: String,
        operator: String,
        rows: TableSnapshot,
        items: (Long) -> List<ConfigurationItem>,
    ): ConfigurationChange {
        val previous = rows.find(HEAD_KEY)?.toHead()?.sequence ?: 0
        // The table's clock keeps the sequence above the versions that a restored table has lost, even if no router knows them.
        val sequence = maxOf(previous + 1, rows.tableTimeMs, replica.sequence + 1)
        return ConfigurationChange(sequence, previous, changeId, operator, rows.tableTimeMs, items(sequence))
    }

    private suspend fun commit(
        change: ConfigurationChange,
        rows: TableSnapshot,
        contentHash: String,
    ): ChangeOutcome? {
        val changeIdKey = changeIdRowKey(change.changeId)
        val expired = expiredRows(rows.tableTimeMs)
        val checked = listOf(HEAD_KEY, changeIdKey) + change.items.map { itemRowKey(it.key) }
        val transaction =
            TableTransaction(
                transactionId = "config-${change.changeId}-${UUID(random.nextLong(), random.nextLong())}",
                checks = checked.map { RowCheck(it, rows.find(it)?.version ?: 0) },
                writes =
                    change.items.map { RowWrite(itemRowKey(it.key), rowJson.encodeToString(ConfigurationItem.serializer(), it)) } +
                        RowWrite(HEAD_KEY, rowJson.encodeToString(HeadRow.serializer(), HeadRow(change.sequence, change.changeId))) +
                        RowWrite(changeIdKey, rowJson.encodeToString(ChangeIdRow.serializer(), ChangeIdRow(change.sequence, contentHash))) +
                        RowWrite(changeRowKey(change.sequence), rowJson.encodeToString(ConfigurationChange.serializer(), change)) +
                        expired.flatMap { listOf(RowWrite(it.key, null), RowWrite(changeIdRowKey(it.toChange().changeId), null)) },
            )
        return when (val result = commitResolvingUnknownOutcome(transaction)) {
            is TableResult.Response -> onCommitOutcome(result.value, change)
            is TableResult.Unavailable -> ChangeOutcome.Unavailable(result.detail)
            is TableResult.Unknown -> ChangeOutcome.Unknown(result.detail)
        }
    }

    private fun onCommitOutcome(
        outcome: CommitOutcome,
        change: ConfigurationChange,
    ): ChangeOutcome? {
        if (outcome is CommitOutcome.Conflict) return null
        replica.apply(change)
        log.info(
            "configuration_accepted",
            "sequence" to change.sequence,
            "operator" to change.operator,
            "items" to change.items.joinToString { "${it.key}" },
        )
        onAccepted(change)
        return ChangeOutcome.Accepted(change.sequence)
    }

    /** Resolves an unknown outcome by looking up the transaction. Committing the same transaction id again is idempotent. */
    private suspend fun commitResolvingUnknownOutcome(transaction: TableTransaction): TableResult<CommitOutcome> {
        val first = table.commit(transaction)
        if (first !is TableResult.Unknown) return first
        return withTimeoutOrNull(RESOLVE_TIMEOUT_MS) { resolve(transaction) } ?: first
    }

    private suspend fun resolve(transaction: TableTransaction): TableResult.Response<CommitOutcome> {
        var waitMs = INITIAL_RETRY_DELAY_MS
        while (true) {
            val found = table.findTransaction(transaction.transactionId)
            val outcome = (found as? TableResult.Response)?.value?.outcome
            if (outcome != null) return TableResult.Response(outcome)
            if (found is TableResult.Response) (table.commit(transaction) as? TableResult.Response)?.let { return it }
            delay(waitMs)
            waitMs = minOf(waitMs * 2, MAX_RESOLVE_DELAY_MS)
        }
    }

    /** Returns rows of the oldest changes that are past the retention time of the history. */
    private suspend fun expiredRows(tableTimeMs: Long): List<TableRow> {
        if (random.nextInt(CHANGES_PER_EXPIRY) != 0) return emptyList()
        val oldest = table.scan(CHANGE_PREFIX, null, MAX_ROWS_PER_EXPIRY) as? TableResult.Response ?: return emptyList()
        return oldest.value.rows.filter { it.toChange().acceptedAtMs < tableTimeMs - HISTORY_RETENTION_MS }
    }

    private fun contentHash(request: ChangeRequest): String {
        val text = request.edits.joinToString("\n") { "${it.key} ${it.expectedVersion} ${it.body}" }
        return MessageDigest.getInstance("SHA-256").digest(text.toByteArray()).joinToString("") { "%02x".format(it) }
    }

    private companion object {
        private const val MAX_EDITS = 100
        private const val MAX_ATTEMPTS = 12
        private const val MAX_REPUBLISH_PARTS = 1_000
        private const val INITIAL_RETRY_DELAY_MS = 20L
        private const val MAX_RETRY_DOUBLINGS = 5
        private const val MAX_RESOLVE_DELAY_MS = 1_000L
        private const val RESOLVE_TIMEOUT_MS = 10_000L
        private const val HISTORY_RETENTION_MS = 7L * 24 * 3_600_000

        // One in eight changes scans and removes up to 32 rows, which is four times the rows that eight changes add.
        private const val CHANGES_PER_EXPIRY = 8
        private const val MAX_ROWS_PER_EXPIRY = 32
    }
}
