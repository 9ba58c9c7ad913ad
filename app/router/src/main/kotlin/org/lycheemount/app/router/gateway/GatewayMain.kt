package org.lycheemount.app.router.gateway

import com.github.michaelbull.result.getOrElse
import org.lycheemount.app.router.addShutdownHook
import org.lycheemount.app.router.exitWithError
import org.lycheemount.app.router.formatSettingsErrors
import org.lycheemount.app.router.logging.flushLogOutput
import org.lycheemount.common.DefaultClock
import org.lycheemount.common.DefaultEventLog
import org.lycheemount.settings.loadGatewaySettings
import java.nio.file.Path

/** Runs a gateway with the settings in [file] until a signal terminates the process. */
internal fun runGateway(file: Path) {
    val clock = DefaultClock()
    val startedAtMs = clock.monotonicMs()
    val settings = loadGatewaySettings(file).getOrElse { exitWithError(formatSettingsErrors(it)) }
    val process = GatewayProcess(settings, clock, startedAtMs)
    val settingsFile = WatchedSettingsFile(file, settings, DefaultEventLog("gateway"), process::onSettingsChanged)
    settingsFile.reloadOnHangup()
    // Registered first, since a signal may arrive as soon as the listeners are open.
    addShutdownHook { process.stop() }
    startOrExit(process)
    // The file may change without a hangup signal.
    while (true) {
        Thread.sleep(SETTINGS_POLL_INTERVAL_MS)
        settingsFile.reload()
    }
}

private fun startOrExit(process: GatewayProcess) =
    try {
        process.start()
    } catch (failure: Exception) {
        DefaultEventLog("gateway").warn("start_failed", "error" to failure.stackTraceToString())
        flushLogOutput()
        // An orderly exit would run the shutdown hook, which reports success.
        Runtime.getRuntime().halt(EXIT_CODE_FAILED_START)
    }

private const val EXIT_CODE_FAILED_START = 1

// A changed retry budget may take effect a few seconds late.
private const val SETTINGS_POLL_INTERVAL_MS = 2_000L
