package org.lycheemount.app.router.gateway

import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.runBlocking
import org.lycheemount.app.router.fail
import org.lycheemount.app.router.logging.flushLogOutput
import org.lycheemount.app.router.report
import org.lycheemount.common.DefaultClock
import org.lycheemount.common.DefaultEventLog
import org.lycheemount.settings.loadGatewaySettings
import java.nio.file.Path
import kotlin.concurrent.thread

/** Runs a gateway with the settings in [file] until the process is ended by a signal. */
internal fun runGateway(file: Path) {
    val clock = DefaultClock()
    val startedAtMs = clock.monotonicMs()
    val settings = loadGatewaySettings(file).getOrElse { fail(report(it)) }
    val process = GatewayProcess(settings, clock, startedAtMs)
    val settingsFile = SettingsFile(file, DefaultEventLog("gateway"), process::onSettingsChanged)
    settingsFile.checkAtHangup()
    process.start()
    Runtime.getRuntime().addShutdownHook(
        thread(start = false, name = "shutdown") {
            runBlocking { process.stop() }
            flushLogOutput()
            // A JVM that ends by a signal exits with 128 + its number; a finished drain is a success.
            Runtime.getRuntime().halt(0)
        },
    )
    // The file may also change without a signal.
    while (true) {
        Thread.sleep(SETTINGS_CHECK_MS)
        settingsFile.check()
    }
}

// A changed retry budget may be in force some seconds later.
private const val SETTINGS_CHECK_MS = 2_000L
