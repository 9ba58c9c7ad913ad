package org.lycheemount.admin

import kotlinx.serialization.json.JsonObject
import org.lycheemount.budget.BudgetAdministration
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.StateDumpSource
import org.lycheemount.config.ConfigurationService

/**
 * Parts of the process that the administration API works on.
 *
 * @property stateSources parts that the state dump lists, configuration and membership included.
 * @property notReadyReasons reasons for which this router is not ready; empty when it is.
 * @property startDrain begins the graceful shutdown of this router and returns at once.
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
        /** Greatest request body, enough for 100 items of 10 KB. */
        const val DEFAULT_MAX_BODY_BYTES: Int = 1 shl 20
    }
}
