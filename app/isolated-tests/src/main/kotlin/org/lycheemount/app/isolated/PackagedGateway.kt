package org.lycheemount.app.isolated

import kotlinx.serialization.json.Json
import org.lycheemount.settings.GatewaySettings
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.createTempFile
import kotlin.io.path.deleteIfExists
import kotlin.io.path.readLines
import kotlin.io.path.writeText

/** A running process of the packaged gateway, which ends with [close] or with this process. */
class PackagedGateway private constructor(
    private val process: Process,
    private val settingsFile: Path,
    private val outputFile: Path,
) : AutoCloseable {
    private val endWithThisProcess = Thread { process.destroyForcibly() }

    init {
        Runtime.getRuntime().addShutdownHook(endWithThisProcess)
    }

    val isAlive: Boolean get() = process.isAlive

    /** Highest resident memory so far, in megabytes; null if the process has ended. */
    val peakResidentMb: Int?
        get() =
            procFile("status")
                .takeIf { it.toFile().exists() }
                ?.readLines()
                ?.firstOrNull { it.startsWith("VmHWM:") }
                ?.let { it.filter(Char::isDigit).toInt() / KB_PER_MB }

    /** Number of open descriptors; null if the process has ended. */
    val descriptorCount: Int? get() = procFile("fd").toFile().list()?.size

    /** Lines of the output that contain [text]. */
    fun outputLines(text: String): List<String> = outputFile.readLines(Charsets.ISO_8859_1).filter { text in it }

    private fun procFile(name: String) = Path.of("/proc", "${process.pid()}", name)

    override fun close() {
        process.destroyForcibly().waitFor(END_TIMEOUT_S, TimeUnit.SECONDS)
        Runtime.getRuntime().removeShutdownHook(endWithThisProcess)
        settingsFile.deleteIfExists()
        outputFile.deleteIfExists()
    }

    /** Starts processes. */
    companion object {
        private const val KB_PER_MB = 1_024
        private const val END_TIMEOUT_S = 60L

        /** Starts a gateway with [command], which gets the file of [settings]. */
        fun start(
            settings: GatewaySettings,
            command: (settingsFile: Path) -> List<String>,
        ): PackagedGateway {
            val settingsFile = createTempFile("gateway", ".json")
            settingsFile.writeText(Json.encodeToString(GatewaySettings.serializer(), settings))
            val outputFile = createTempFile("gateway", ".log")
            val builder = ProcessBuilder(command(settingsFile)).redirectErrorStream(true).redirectOutput(outputFile.toFile())
            return PackagedGateway(builder.start(), settingsFile, outputFile)
        }
    }
}
