package org.lycheemount.app.router.gateway

import com.github.michaelbull.result.fold
import org.lycheemount.common.EventLog
import org.lycheemount.settings.GatewaySettings
import org.lycheemount.settings.parseGatewaySettings
import sun.misc.Signal
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/**
 * The settings file of a running gateway. A file that cannot be read or has faults is reported once, and the settings in force stay.
 *
 * @param onChanged gets the settings of a file that has changed since the last look.
 */
internal class SettingsFile(
    private val file: Path,
    private val eventLog: EventLog,
    private val onChanged: (GatewaySettings) -> Unit,
) {
    private var lastText = readText()

    /** Looks at the file; safe to call from any thread. */
    @Synchronized
    fun check() {
        val text = readText()
        if (text == null || text == lastText) return
        lastText = text
        parseGatewaySettings(text).fold(
            onChanged,
            { faults ->
                for (fault in faults) {
                    eventLog.warn("settings_refused", "field" to fault.field, "found" to fault.found, "accepted" to fault.accepted)
                }
            },
        )
    }

    /** Looks at the file at each hangup signal, which would end the JVM otherwise. */
    fun checkAtHangup() {
        Signal.handle(Signal("HUP")) {
            eventLog.info("hangup_received", "settings" to file)
            check()
        }
    }

    private fun readText(): String? =
        try {
            Files.readString(file)
        } catch (exception: IOException) {
            eventLog.warn("settings_unreadable", "settings" to file, "error" to exception.message)
            null
        }
}
