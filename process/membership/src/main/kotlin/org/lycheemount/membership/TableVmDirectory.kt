package org.lycheemount.membership

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.lycheemount.common.EventLog
import org.lycheemount.platform.CommitOutcome
import org.lycheemount.platform.RouterVm
import org.lycheemount.platform.RowCheck
import org.lycheemount.platform.RowWrite
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableRow
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableTransaction
import org.lycheemount.platform.VmDirectory
import org.lycheemount.platform.VmList

/**
 * VM directory for platforms without a VM list: each router writes a row to the table when it starts.
 *
 * Rows are never removed, because a VM that is missing from a list counts as gone for good, and nothing proves that a VM will not
 * return. The list is used to find and to count routers; the count includes replaced VMs.
 *
 * @param incarnation incarnation of this process, part of the id of its transaction.
 */
class TableVmDirectory(
    private val table: TableService,
    private val self: RouterVm,
    private val incarnation: Long,
    private val eventLog: EventLog,
) : VmDirectory {
    private val key = "$PREFIX${self.vmId.value}"
    private var isRegistered = false

    override suspend fun list(): TableResult<VmList> {
        if (!isRegistered) isRegistered = register()
        return when (val rows = table.scan(PREFIX)) {
            is TableResult.Answered ->
                TableResult.Answered(
                    VmList(rows.value.rows.mapNotNull(::decode), emptyList(), rows.value.tableTimeMs),
                )
            is TableResult.Unavailable -> rows
            is TableResult.Unknown -> rows
        }
    }

    private suspend fun register(): Boolean {
        val current = table.read(listOf(key))
        if (current !is TableResult.Answered) return false
        val existing = current.value.find(key)
        if (existing != null && decode(existing) == self) return true
        val transaction =
            TableTransaction(
                "vm-${self.vmId.value}-$incarnation-${existing?.version ?: 0}",
                listOf(RowCheck(key, existing?.version ?: 0)),
                listOf(RowWrite(key, Json.encodeToString(RouterVm.serializer(), self))),
            )
        val outcome = table.commit(transaction)
        return outcome is TableResult.Answered && outcome.value is CommitOutcome.Committed
    }

    private fun decode(row: TableRow): RouterVm? =
        try {
            Json.decodeFromString(RouterVm.serializer(), row.value)
        } catch (exception: SerializationException) {
            eventLog.warn("router_row_unreadable", "key" to row.key, "error" to exception.message)
            null
        }

    private companion object {
        private const val PREFIX = "router-vm/"
    }
}
