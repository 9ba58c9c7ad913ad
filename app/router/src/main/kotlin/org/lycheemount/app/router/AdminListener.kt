package org.lycheemount.app.router

import org.lycheemount.admin.AdminInterface
import org.lycheemount.admin.AdminKey
import org.lycheemount.admin.AdminRole
import org.lycheemount.admin.AdminServices
import org.lycheemount.budget.BudgetAdministration
import org.lycheemount.caller.installPacedResponses
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.MemoryBudget
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.StateDumpSource
import org.lycheemount.config.ConfigurationService
import org.lycheemount.settings.RouterSettings

/** Serves the administration API on its own listener. */
internal class AdminListener(
    settings: RouterSettings,
    identity: RouterIdentity,
    clock: Clock,
    configuration: ConfigurationService,
    budgets: BudgetAdministration,
    stateSources: List<StateDumpSource>,
    eventLog: EventLog,
    notReadyReasons: () -> List<String>,
    startDrain: () -> Unit,
) {
    private val keys = settings.adminKeys.map { AdminKey(it.name, AdminRole.valueOf(it.role.uppercase()), it.keySha256, it.teamId) }
    private val admin =
        AdminInterface(
            AdminServices(identity, configuration, budgets, keys, stateSources, eventLog, notReadyReasons, startDrain),
        )
    private val memory = MemoryBudget(OPERATIONS_MEMORY_BYTES)
    private val server =
        createHttpServer(settings.admin, eventLog, OPERATIONS_BOUNDS, memory) {
            installPacedResponses(memory, clock)
            admin.installInto(this)
        }

    /** Starts the listener and returns its port. */
    suspend fun start(): Int {
        server.start()
        return server.port()
    }

    /** Stops the listener when its requests in progress have finished, after 1 s at the latest. */
    suspend fun stop() = server.stop(STOP_GRACE_MS, STOP_LINGER_MS)

    private companion object {
        private const val STOP_GRACE_MS = 100L
        private const val STOP_LINGER_MS = 900L
    }
}
