package org.lycheemount.app.router

import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.runBlocking
import org.lycheemount.settings.loadRouterSettings
import java.nio.file.Path
import kotlin.concurrent.thread
import kotlin.system.exitProcess

/** Starts one router process with the settings file that the only argument names. */
fun main(arguments: Array<String>) {
    val file = arguments.singleOrNull() ?: fail("usage: lycheemount SETTINGS_FILE")
    val settings =
        loadRouterSettings(Path.of(file)).getOrElse { faults ->
            fail(faults.joinToString("\n") { """event=invalid_setting field=${it.field} found="${it.found}" accepted="${it.accepted}"""" })
        }
    val process = RouterProcess(settings, requestShutdown = { thread(name = "drain") { exitProcess(0) } })
    runBlocking { process.start() }
    Runtime.getRuntime().addShutdownHook(
        thread(start = false, name = "shutdown") {
            runBlocking { process.stop() }
            // A JVM that ends by a signal exits with 128 + its number; a finished drain is a success.
            Runtime.getRuntime().halt(0)
        },
    )
    Thread.currentThread().join()
}

private fun fail(message: String): Nothing {
    System.err.println(message)
    exitProcess(2)
}
