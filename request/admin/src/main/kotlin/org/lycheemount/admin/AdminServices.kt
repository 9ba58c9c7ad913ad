package org.lycheemount.admin

import kotlinx.serialization.json.JsonObject
import org.lycheemount.budget.BudgetAdministration
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.StateDumpSource
import org.lycheemount.config.ConfigurationService

/**
 * Components of the process that the administration API uses.
 *
 * @property stateSources components included in the state dump, among them configuration and membership.
 * @property notReadyReasons reasons why this router is not ready; empty if it is ready.
 * @property startDrain starts the graceful shutdown of this router and returns immediately.
 */
class AdminServices(
    val identity: RouterIdentity,
    val configuration: ConfigurationService,
    val budgets: BudgetAdministration,
    val keys: List<AdminKey>,
    val stateSources: List<StateDumpSource>,
    val eventLog: EventLog,
    val notReadyReasons: () -> List<String>,
    val startDrain: () -> Unit,
    val maxBodyBytes: Int = DEFAULT_MAX_BODY_BYTES,
) {
    internal fun dumpState(): JsonObject = JsonObject(stateSources.associate { it.name to it.dumpState() })

    /** Defaults. */
    companion object {
        /** Maximum size of a request body, enough for 100 items of 10 KB. */
        const val DEFAULT_MAX_BODY_BYTES: Int = 1 shl 20
    }
}
