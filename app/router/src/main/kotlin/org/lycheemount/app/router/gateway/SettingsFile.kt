package org.lycheemount.app.router.gateway

import com.github.michaelbull.result.fold
import org.lycheemount.common.EventLog
import org.lycheemount.settings.GatewaySettings
import org.lycheemount.settings.SettingsError
import org.lycheemount.settings.loadGatewaySettings
import sun.misc.Signal
import java.nio.file.Path

/**
 * The settings file of a running gateway. A file that cannot be read or has faults is reported once, and the settings in force stay.
 *
 * @param loaded settings that were read from [file] at the start.
 * @param onChanged gets the settings of a file that has changed since the last look.
 */
internal class SettingsFile(
    private val file: Path,
    loaded: GatewaySettings,
    private val eventLog: EventLog,
    private val onChanged: (GatewaySettings) -> Unit,
) {
    private var current = loaded
    private var reportedFaults = emptyList<SettingsError>()

    /** Looks at the file; safe to call from any thread. */
    @Synchronized
    fun check() = loadGatewaySettings(file).fold(::onSettings, ::onFaults)

    /** Looks at the file at each hangup signal, which would end the JVM otherwise. */
    fun checkAtHangup() {
        Signal.handle(Signal("HUP")) {
            eventLog.info("hangup_received", "settings" to file)
            check()
        }
    }

    private fun onSettings(settings: GatewaySettings) {
        reportedFaults = emptyList()
        if (settings == current) return
        current = settings
        onChanged(settings)
    }

    private fun onFaults(faults: List<SettingsError>) {
        if (faults == reportedFaults) return
        reportedFaults = faults
        for (fault in faults) {
            eventLog.warn("settings_refused", "field" to fault.field, "found" to fault.found, "accepted" to fault.accepted)
        }
    }
}
