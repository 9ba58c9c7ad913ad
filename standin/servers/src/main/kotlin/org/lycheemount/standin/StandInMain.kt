package org.lycheemount.standin

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import org.lycheemount.common.DefaultEventLog
import org.lycheemount.standin.check.runCheck
import java.io.File
import java.io.IOException
import kotlin.system.exitProcess

// Lazy, so that main selects the logging configuration first.
private val log by lazy { DefaultEventLog("standin") }

/** Starts the stand-ins of one process, `platform|engines|services --settings FILE`, or runs `check` on a deployment. */
fun main(arguments: Array<String>) {
    // A separate file name, so as not to shadow the logback.xml of a program that has the stand-ins on its class path.
    System.setProperty("logback.configurationFile", "logback-standin.xml")
    if (arguments.firstOrNull() == "check") exitProcess(runCheck(arguments.drop(1)))
    val file = arguments.getOrNull(2)?.let(::File)
    if (arguments.size != 3 || arguments[1] != "--settings" || file == null) exitWithUsage()
    when (arguments[0]) {
        "platform" -> runPlatform(readSettings(file, PlatformStandInSettings.serializer()))
        "engines" -> runEngines(readSettings(file, EnginesSettings.serializer()))
        "services" -> runServices(readSettings(file, ServicesSettings.serializer()))
        else -> exitWithUsage()
    }
    Thread.currentThread().join()
}

private fun runPlatform(settings: PlatformStandInSettings) {
    val platform = startPlatformStandIn(settings)
    log.info("platform_ready", "url" to platform.url())
}

private fun runEngines(settings: EnginesSettings) {
    val engines = settings.engines.map(::startEngineStandIn)
    val backends = engines.associate { it.backendServerId.value to RestartableBackend(it::crash, it::restart) }
    val control = startBackendControl(settings.host, settings.controlPort, backends)
    log.info("engines_ready", "engines" to engines.size, "controlPort" to control.port)
}

private fun runServices(settings: ServicesSettings) {
    val records =
        settings.servers
            .map { it.serviceId }
            .distinct()
            .associateWith { ServiceRecords() }
    val servers = settings.servers.map { startServiceStandIn(it, records.getValue(it.serviceId)) }
    val backends = servers.associate { it.backendServerId.value to RestartableBackend(it::crash, it::restart) }
    val control = startBackendControl(settings.host, settings.controlPort, backends)
    log.info("services_ready", "servers" to servers.size, "controlPort" to control.port)
}

private fun <T> readSettings(
    file: File,
    deserializer: DeserializationStrategy<T>,
): T =
    try {
        standInJson.decodeFromString(deserializer, file.readText())
    } catch (failure: SerializationException) {
        exitWithInvalidSettings(file, failure)
    } catch (failure: IOException) {
        exitWithInvalidSettings(file, failure)
    }

private fun exitWithInvalidSettings(
    file: File,
    failure: Exception,
): Nothing {
    System.err.println("event=settings_invalid file=$file detail=\"${failure.message}\"")
    exitProcess(2)
}

private fun exitWithUsage(): Nothing {
    System.err.println("usage: standin platform|engines|services --settings FILE, or standin check --deployment DIR [--once]")
    exitProcess(2)
}
