package org.lycheemount.app.router.gateway

import com.github.michaelbull.result.fold
import org.lycheemount.common.EventLog
import org.lycheemount.settings.GatewaySettings
import org.lycheemount.settings.SettingsError
import org.lycheemount.settings.loadGatewaySettings
import sun.misc.Signal
import java.nio.file.Path

/**
 * The settings file of a running gateway. A file that is unreadable or invalid is logged once, and the active settings stay.
 *
 * @param initial settings read from [file] at the start.
 * @param onChanged called with the new settings when they differ from the active ones.
 */
internal class WatchedSettingsFile(
    private val file: Path,
    initial: GatewaySettings,
    private val eventLog: EventLog,
    private val onChanged: (GatewaySettings) -> Unit,
) {
    private var activeSettings = initial
    private var reportedErrors = emptyList<SettingsError>()

    /** Reads the file and applies changed settings. Safe to call from any thread. */
    @Synchronized
    fun reload() = loadGatewaySettings(file).fold(::applySettings, ::reportErrors)

    /** Reloads the file at each SIGHUP, which would terminate the JVM by default. */
    fun reloadOnHangup() {
        Signal.handle(Signal("HUP")) {
            eventLog.info("hangup_received", "settings" to file)
            reload()
        }
    }

    private fun applySettings(settings: GatewaySettings) {
        reportedErrors = emptyList()
        if (settings == activeSettings) return
        activeSettings = settings
        onChanged(settings)
    }

    private fun reportErrors(errors: List<SettingsError>) {
        if (errors == reportedErrors) return
        reportedErrors = errors
        for (error in errors) {
            eventLog.warn("settings_refused", "field" to error.field, "found" to error.found, "accepted" to error.accepted)
        }
    }
}
