package org.lycheemount.claims

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.lycheemount.platform.CommitOutcome
import org.lycheemount.platform.RowCheck
import org.lycheemount.platform.RowWrite
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableRow
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableTransaction

/** Outcome of an attempt to write a partition row. */
internal sealed interface RowWriteOutcome {
    /** The table now holds [row], written by this attempt or by another. */
    data class Current(
        val row: PartitionRow,
    ) : RowWriteOutcome

    /** This attempt definitely wrote nothing. */
    data object NotWritten : RowWriteOutcome

    /** The row may have been written. */
    data object Unknown : RowWriteOutcome
}

/** Row of a partition with its version in the table; null and version 0 when absent. */
internal class VersionedRow(
    val row: PartitionRow?,
    val version: Long,
    val tableTimeMs: Long,
)

/** Reads and writes partition rows. */
internal class PartitionRowStore(
    private val table: TableService,
    private val newTransactionId: () -> String,
) {
    /** Returns the row of [partition], or null when the table did not respond. */
    suspend fun read(partition: Int): VersionedRow? =
        when (val result = table.read(listOf(partitionKey(partition)))) {
            is TableResult.Response -> {
                val found = result.value.rows.firstOrNull()
                VersionedRow(found?.let(::decode), found?.version ?: 0, result.value.tableTimeMs)
            }
            is TableResult.Unavailable, is TableResult.Unknown -> null
        }

    /** Returns all rows, or null when the table did not respond. */
    suspend fun readAll(): List<PartitionRow>? =
        when (val result = table.scan(PARTITION_PREFIX, limit = MAX_PARTITIONS)) {
            is TableResult.Response -> result.value.rows.mapNotNull(::decode)
            is TableResult.Unavailable, is TableResult.Unknown -> null
        }

    /** Writes [row] if its version in the table is [expectedVersion]. */
    suspend fun write(
        row: PartitionRow,
        expectedVersion: Long,
    ): RowWriteOutcome {
        val key = partitionKey(row.partition)
        val write = RowWrite(key, json.encodeToString(PartitionRow.serializer(), row))
        return when (
            val result =
                table.commit(
                    TableTransaction(newTransactionId(), listOf(RowCheck(key, expectedVersion)), listOf(write)),
                )
        ) {
            is TableResult.Unavailable -> RowWriteOutcome.NotWritten
            is TableResult.Unknown -> RowWriteOutcome.Unknown
            is TableResult.Response ->
                when (val outcome = result.value) {
                    is CommitOutcome.Committed -> RowWriteOutcome.Current(row)
                    is CommitOutcome.Conflict -> conflictOutcome(outcome)
                }
        }
    }

    private fun conflictOutcome(outcome: CommitOutcome.Conflict): RowWriteOutcome {
        val current = outcome.current.firstOrNull()?.let(::decode) ?: return RowWriteOutcome.NotWritten
        return RowWriteOutcome.Current(current)
    }

    private fun decode(row: TableRow): PartitionRow? =
        try {
            json.decodeFromString(PartitionRow.serializer(), row.value)
        } catch (failure: SerializationException) {
            null
        }

    private companion object {
        private const val MAX_PARTITIONS = 4_096
        private val json = Json { ignoreUnknownKeys = true }
    }
}
