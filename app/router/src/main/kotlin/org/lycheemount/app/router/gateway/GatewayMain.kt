package org.lycheemount.app.router.gateway

import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.runBlocking
import org.lycheemount.app.router.addShutdownHook
import org.lycheemount.app.router.exitWithError
import org.lycheemount.app.router.formatSettingsErrors
import org.lycheemount.app.router.startOrExit
import org.lycheemount.backend.BackendHttp
import org.lycheemount.backend.DefaultPassThroughClient
import org.lycheemount.common.Clock
import org.lycheemount.common.DefaultClock
import org.lycheemount.common.DefaultEventLog
import org.lycheemount.common.EventLog
import org.lycheemount.membership.awaitIncarnation
import org.lycheemount.platform.adapter.createRowTableService
import org.lycheemount.settings.GatewaySettings
import org.lycheemount.settings.loadGatewaySettings
import java.nio.file.Path
import java.util.concurrent.atomic.AtomicReference

/** Runs a gateway with the settings in [file] until a signal terminates the process. */
internal fun runGateway(file: Path) {
    val clock = DefaultClock()
    val startedAtMs = clock.monotonicMs()
    val settings = loadGatewaySettings(file).getOrElse { exitWithError(formatSettingsErrors(it)) }
    val eventLog = DefaultEventLog("gateway")
    val started = AtomicReference<GatewayProcess>()
    // Registered first, since a signal may arrive at any time.
    addShutdownHook { started.get()?.stop() }
    val incarnation = runBlocking { awaitGatewayIncarnation(settings, clock, eventLog) }
    val process = GatewayProcess(settings, clock, startedAtMs, incarnation).also(started::set)
    val settingsFile = WatchedSettingsFile(file, settings, eventLog, process::onSettingsChanged)
    settingsFile.reloadOnHangup()
    startOrExit(eventLog) { process.start() }
    // The file may change without a hangup signal.
    while (true) {
        Thread.sleep(SETTINGS_POLL_INTERVAL_MS)
        settingsFile.reload()
    }
}

/** Waits for the store, without which a gateway has no configuration and serves nothing. */
internal suspend fun awaitGatewayIncarnation(
    settings: GatewaySettings,
    clock: Clock,
    eventLog: EventLog,
): Long =
    BackendHttp().use { http ->
        val store = createStoreClient(DefaultPassThroughClient(http), settings.storeAddress, clock, eventLog)
        awaitIncarnation(createRowTableService(store), settings.vmId, clock.wallClockMs(), eventLog)
    }

// A changed retry budget may take effect a few seconds late.
private const val SETTINGS_POLL_INTERVAL_MS = 2_000L
