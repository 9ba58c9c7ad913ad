package org.lycheemount.app.router.gateway

import org.lycheemount.common.EventLog
import org.lycheemount.settings.GatewaySettings

/** Settings in force: [initial] with the reloadable values that have changed in the file since the start. */
internal class ActiveSettings(
    private val initial: GatewaySettings,
    private val eventLog: EventLog,
) {
    /** Settings in force now. May be read by any thread. */
    @Volatile
    var current: GatewaySettings = initial
        private set

    /** Applies the retry budget and the drain grace of [changed]. All other settings need a restart. */
    fun onChanged(changed: GatewaySettings) {
        current = initial.copy(retryBudget = changed.retryBudget, drainGraceS = changed.drainGraceS)
        eventLog.info("settings_reloaded", "retry_budget" to current.retryBudget, "drain_grace_s" to current.drainGraceS)
        if (current != changed.copy(isFirstStart = current.isFirstStart)) {
            eventLog.warn("settings_need_restart", "in_force" to current, "in_file" to changed)
        }
    }
}
