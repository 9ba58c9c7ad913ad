package org.lycheemount.membership

import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.lycheemount.common.EventLog
import org.lycheemount.platform.RouterVm
import org.lycheemount.platform.RowFeed
import org.lycheemount.platform.RowListener
import org.lycheemount.platform.StoreEra
import org.lycheemount.platform.StoreEras
import org.lycheemount.platform.StoreRow
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableService
import org.lycheemount.platform.VmDirectory
import org.lycheemount.platform.VmList
import org.lycheemount.platform.scanAll

/**
 * VM directory for platforms without a VM list: each router writes a row to the table when it starts, and again if the store may have lost
 * it. The rows that a router has read count for as long as it runs, also those that the store has lost.
 *
 * Rows are never removed, because a VM that is missing from a list counts as gone for good, and nothing proves that a VM will not
 * return. The list is used to find and to count routers; the count includes replaced VMs.
 *
 * @param table table that holds the rows of VMs and nothing else that changes often, since each router follows all of its changes.
 * @param feed feed of the rows of [table].
 * @param eras eras of the store that holds [table].
 */
class TableVmDirectory(
    private val table: TableService,
    private val feed: RowFeed,
    private val eras: StoreEras,
    private val self: RouterVm,
    private val eventLog: EventLog,
) : VmDirectory {
    private val key = "$PREFIX${self.vmId.value}"
    private var isRegistered = false

    /** Era of the store in which the row of this router was there. */
    private var registeredEra: StoreEra? = null
    private val mutex = Mutex()
    private val routersByKey = sortedMapOf<String, RouterVm>()
    private var failureDetail = ""

    /** Era of the store to which the rows read last and their time belong. */
    private var listEra: StoreEra? = null

    private val rowListener =
        object : RowListener {
            override fun onEra(era: StoreEra?) {
                listEra = era
            }

            override fun onAllRows(rows: List<StoreRow>) = onChangedRows(rows)

            override fun onChangedRows(rows: List<StoreRow>) {
                for (row in rows) if (row.key.startsWith(PREFIX)) onRow(row)
            }

            override fun onResponded() = Unit

            override fun onFailed(detail: String) {
                failureDetail = detail
            }
        }

    override suspend fun list(): TableResult<VmList> =
        mutex.withLock {
            registerIfNeeded()
            if (!feed.poll(rowListener)) return TableResult.Unavailable(failureDetail)
            val asOfTableTimeMs = checkNotNull(feed.lastResponseTableTimeMs)
            TableResult.Response(VmList(routersByKey.values.toList(), emptyList(), asOfTableTimeMs, listEra))
        }

    private suspend fun registerIfNeeded() {
        val era = eras.current.value
        if (isRegistered && era == registeredEra) return
        if (isRegistered) eventLog.info("router_row_checked", "key" to key, "era" to era?.value)
        isRegistered = register()
        // No era is known before the first response of the store.
        registeredEra = era ?: eras.current.value
    }

    private suspend fun register(): Boolean {
        val value = Json.encodeToString(RouterVm.serializer(), self)
        val update = table.updateRow(key, "vm-${self.vmId.value}") { row -> value.takeIf { row?.value != value } }
        return update != RowUpdate.FAILED
    }

    private fun onRow(row: StoreRow) {
        val value = row.value ?: return
        decodeRouterVm(row.key, value.decodeToString(), eventLog)?.let { routersByKey[row.key] = it }
    }

    /** Names in the table. */
    companion object {
        /** Name of the table that holds the rows. */
        const val TABLE_NAME: String = "lycheemount-vms"
        internal const val PREFIX = "router-vm/"
    }
}

/** Reads the VMs of routers in [table], running or not; null if the table did not respond. Unreadable rows are logged and left out. */
suspend fun readRouterVms(
    table: TableService,
    eventLog: EventLog,
): List<RouterVm>? = table.scanAll(TableVmDirectory.PREFIX)?.mapNotNull { decodeRouterVm(it.key, it.value, eventLog) }

private fun decodeRouterVm(
    key: String,
    value: String,
    eventLog: EventLog,
): RouterVm? =
    try {
        Json.decodeFromString(RouterVm.serializer(), value)
    } catch (exception: SerializationException) {
        eventLog.warn("router_row_unreadable", "key" to key, "error" to exception.message)
        null
    }
