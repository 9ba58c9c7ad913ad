package org.lycheemount.claims

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.platform.RowWrite
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableRow
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableTransaction
import java.security.MessageDigest
import java.util.HexFormat

/** Writes outcomes to the table in batches, and reads them back after both routers of a partition were lost. */
internal class OutcomeStore(
    private val table: TableService,
    private val options: ClaimOptions,
    private val newTransactionId: () -> String,
) {
    private val pendingWrites = LinkedHashMap<String, String?>()

    /** Number of outcomes and removals not yet written. */
    val pendingWriteCount: Int @Synchronized get() = pendingWrites.size

    /** Queues the outcome of [record]. Requests that did not run need no stored outcome. */
    @Synchronized
    fun add(
        partition: Int,
        record: ClaimRecord,
    ) {
        if (record.outcome == null || record.outcome is RecordedOutcome.NotRun) return
        pendingWrites[rowKey(partition, record)] = json.encodeToString(ClaimRecord.serializer(), withBoundedBody(record))
    }

    /** Queues the removal of an expired outcome. */
    @Synchronized
    fun remove(
        partition: Int,
        record: ClaimRecord,
    ) {
        if (record.outcome !is RecordedOutcome.NotRun) pendingWrites[rowKey(partition, record)] = null
    }

    /** Writes one batch and returns whether more can be written now. A batch whose response is lost is written again. */
    suspend fun flush(): Boolean {
        val batch = synchronized(this) { pendingWrites.entries.take(options.flushBatchSize).map { it.key to it.value } }
        if (batch.isEmpty()) return false
        val transaction = TableTransaction(newTransactionId(), emptyList(), batch.map { (key, value) -> RowWrite(key, value) })
        if (table.commit(transaction) !is TableResult.Response) return false
        return synchronized(this) {
            batch.forEach { (key, value) -> if (pendingWrites[key] == value) pendingWrites.remove(key) }
            pendingWrites.isNotEmpty()
        }
    }

    /** Returns all stored outcomes of [partition], or null when the table did not respond. */
    suspend fun readAll(partition: Int): List<ClaimRecord>? {
        val records = ArrayList<ClaimRecord>()
        var afterKey: String? = null
        while (true) {
            val result = table.scan(outcomePrefix(partition), afterKey)
            val rows = (result as? TableResult.Response)?.value?.rows ?: return null
            if (rows.isEmpty()) return records
            rows.mapNotNullTo(records, ::decode)
            afterKey = rows.last().key
        }
    }

    private fun withBoundedBody(record: ClaimRecord): ClaimRecord {
        val outcome = record.outcome
        if (outcome !is RecordedOutcome.Ran || outcome.body.size <= options.maxStoredBodyBytes) return record
        val refusal = Refusal(RefusalReason.IDEMPOTENCY_CONFLICT, "the request ran, but its response was too large to store")
        return record.copy(outcome = RecordedOutcome.Unknown(refusal))
    }

    private fun rowKey(
        partition: Int,
        record: ClaimRecord,
    ): String {
        val name = record.request.key.run { "${teamId.value.length}/${teamId.value}/${key.value}" }
        val hash = MessageDigest.getInstance("SHA-256").digest(name.encodeToByteArray())
        return outcomePrefix(partition) + HexFormat.of().formatHex(hash)
    }

    private fun decode(row: TableRow): ClaimRecord? =
        try {
            json.decodeFromString(ClaimRecord.serializer(), row.value)
        } catch (failure: SerializationException) {
            null
        }

    private companion object {
        private val json = Json { ignoreUnknownKeys = true }
    }
}
