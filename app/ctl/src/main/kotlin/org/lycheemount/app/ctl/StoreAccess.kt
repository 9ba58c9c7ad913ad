package org.lycheemount.app.ctl

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import org.lycheemount.budget.RestoredBudgetAdministration
import org.lycheemount.budget.createRestoredBudgetAdministration
import org.lycheemount.common.DefaultEventLog
import org.lycheemount.membership.TableVmDirectory
import org.lycheemount.membership.readRouterVms
import org.lycheemount.platform.RouterVm
import org.lycheemount.platform.adapter.StoreClient
import org.lycheemount.platform.adapter.createRowTableService
import org.lycheemount.platform.http.PlatformHttp
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.util.UUID

private const val STORE_TIMEOUT_MS = 5_000L
private const val CONNECT_TIMEOUT_MS = 2_000

/** Opens the budgets in the platform's store at [address], `HOST:PORT`. Connections end with each call. */
internal fun openRestoredBudgets(address: String): RestoredBudgetAdministration {
    val log = DefaultEventLog("lycheectl")
    val store = StoreClient(PlatformHttp(STORE_TIMEOUT_MS), address, log)
    val vmTable = createRowTableService(store, TableVmDirectory.TABLE_NAME)
    return createRestoredBudgetAdministration(
        createRowTableService(store),
        store.eras,
        // Without a list, no router counts as ended.
        probe = { router -> readRouterVms(vmTable, log)?.any { it.vmId == router.vmId && acceptsConnections(it) } ?: true },
        newTransactionId = { "lycheectl-${UUID.randomUUID()}" },
    )
}

private suspend fun acceptsConnections(vm: RouterVm): Boolean =
    withContext(Dispatchers.IO) {
        try {
            Socket().use { it.connect(InetSocketAddress(vm.host, vm.peerPort), CONNECT_TIMEOUT_MS) }
            true
        } catch (refused: IOException) {
            false
        }
    }
