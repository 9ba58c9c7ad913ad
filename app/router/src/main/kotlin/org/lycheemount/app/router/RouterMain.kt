package org.lycheemount.app.router

import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.runBlocking
import org.lycheemount.app.router.gateway.loadGatewayClasses
import org.lycheemount.app.router.gateway.runGateway
import org.lycheemount.app.router.logging.flushLogOutput
import org.lycheemount.common.DefaultEventLog
import org.lycheemount.common.EventLog
import org.lycheemount.settings.SettingsError
import org.lycheemount.settings.loadRouterSettings
import java.nio.file.Path
import kotlin.concurrent.thread
import kotlin.system.exitProcess

/**
 * Starts one router process: `lycheemount SETTINGS_FILE`, or `lycheemount gateway [SETTINGS_FILE]` on a platform whose operators
 * publish routes. Without a file argument, `gateway` reads the file name from the environment variable `LYCHEEMOUNT_NODE_FILE`.
 */
fun main(arguments: Array<String>) {
    // Ktor's own shutdown hook would close the listeners at SIGTERM, while the drain still lets requests finish.
    System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    if (arguments.firstOrNull() == LOAD_CLASSES_COMMAND) {
        loadGatewayClasses()
        exitProcess(0)
    }
    if (arguments.firstOrNull() == GATEWAY_COMMAND) {
        val file =
            arguments.getOrNull(1) ?: System.getenv(SETTINGS_FILE_VARIABLE)
                ?: exitWithError("neither an argument nor $SETTINGS_FILE_VARIABLE names a settings file")
        return runGateway(Path.of(file))
    }
    val file = arguments.singleOrNull() ?: exitWithError("usage: lycheemount SETTINGS_FILE | lycheemount gateway [SETTINGS_FILE]")
    val settings = loadRouterSettings(Path.of(file)).getOrElse { exitWithError(formatSettingsErrors(it)) }
    val process = RouterProcess(settings, requestShutdown = { thread(name = "drain") { exitProcess(0) } })
    startOrExit(DefaultEventLog("router")) { process.start() }
    addShutdownHook { process.stop() }
    Thread.currentThread().join()
}

/** Registers [stop] to run when a signal terminates the process. */
internal fun addShutdownHook(stop: suspend () -> Unit) =
    Runtime.getRuntime().addShutdownHook(
        thread(start = false, name = "shutdown") {
            runBlocking { stop() }
            flushLogOutput()
            // A JVM that a signal terminates exits with 128 + the signal number. A completed drain must report success.
            Runtime.getRuntime().halt(0)
        },
    )

/** Runs [start]. If it fails, logs the reason and ends the process without a drain. */
internal fun startOrExit(
    eventLog: EventLog,
    start: suspend () -> Unit,
) = try {
    runBlocking { start() }
} catch (failure: ListenerNotOpenedException) {
    exitAfterFailedStart(eventLog, failure.message)
} catch (failure: Exception) {
    exitAfterFailedStart(eventLog, failure.stackTraceToString())
}

private fun exitAfterFailedStart(
    eventLog: EventLog,
    error: String?,
) {
    eventLog.warn("start_failed", "error" to error)
    flushLogOutput()
    // An orderly exit would run the shutdown hook, which reports success.
    Runtime.getRuntime().halt(EXIT_CODE_FAILED_START)
}

internal fun formatSettingsErrors(errors: List<SettingsError>): String =
    errors.joinToString("\n") { """event=invalid_setting field=${it.field} found="${it.found}" accepted="${it.accepted}"""" }

internal fun exitWithError(message: String): Nothing {
    System.err.println(message)
    exitProcess(2)
}

private const val EXIT_CODE_FAILED_START = 1
private const val GATEWAY_COMMAND = "gateway"

// Used only by the build, to create the class data sharing archive.
private const val LOAD_CLASSES_COMMAND = "load-classes"
private const val SETTINGS_FILE_VARIABLE = "LYCHEEMOUNT_NODE_FILE"
