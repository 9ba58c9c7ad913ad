package org.lycheemount.app.router.gateway

import com.github.michaelbull.result.getOrElse
import org.lycheemount.app.router.fail
import org.lycheemount.app.router.report
import org.lycheemount.app.router.stopAtShutdown
import org.lycheemount.common.DefaultClock
import org.lycheemount.common.DefaultEventLog
import org.lycheemount.settings.loadGatewaySettings
import java.nio.file.Path

/** Runs a gateway with the settings in [file] until the process is ended by a signal. */
internal fun runGateway(file: Path) {
    val clock = DefaultClock()
    val startedAtMs = clock.monotonicMs()
    val settings = loadGatewaySettings(file).getOrElse { fail(report(it)) }
    val process = GatewayProcess(settings, clock, startedAtMs)
    val settingsFile = SettingsFile(file, settings, DefaultEventLog("gateway"), process::onSettingsChanged)
    settingsFile.checkAtHangup()
    process.start()
    stopAtShutdown { process.stop() }
    // The file may also change without a signal.
    while (true) {
        Thread.sleep(SETTINGS_CHECK_MS)
        settingsFile.check()
    }
}

// A changed retry budget may be in force some seconds later.
private const val SETTINGS_CHECK_MS = 2_000L
