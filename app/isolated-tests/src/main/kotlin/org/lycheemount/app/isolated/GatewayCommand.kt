package org.lycheemount.app.isolated

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.createTempFile
import kotlin.io.path.deleteIfExists
import kotlin.io.path.readLines

/**
 * Command line of the packaged gateway: that of `deploy/system.toml` with another heap, jar and class data sharing archive.
 *
 * @property jar the packaged program.
 */
class GatewayCommand(
    private val deployFile: Path,
    private val jar: Path,
    workDirectory: Path,
) {
    private val archive = workDirectory.resolve("gateway.jsa")

    /** Classes that are not read from an archive add to the resident memory, so there must be one, as in a deployment. */
    private val archivedJar: Path by lazy { jar.also { createArchive() } }

    /**
     * Returns the command that starts a gateway with [settingsFile] and a heap of at most [heapMb] megabytes.
     *
     * @param maxDescriptors descriptors that the process may have open; null for the limit of this process.
     */
    fun withSettings(
        settingsFile: Path,
        heapMb: Int,
        maxDescriptors: Int?,
    ): List<String> {
        val options = deployedOptions().filterNot { it.startsWith("-Xmx") || it.startsWith("-XX:SharedArchiveFile=") }
        val java = listOf(JAVA, "-Xmx${heapMb}m", "-XX:SharedArchiveFile=$archive") + options
        val command = java + listOf("-jar", "$archivedJar", "gateway", "$settingsFile")
        return if (maxDescriptors == null) command else listOf("sh", "-c", "ulimit -n $maxDescriptors && exec \"$@\"", "sh") + command
    }

    private fun deployedOptions(): List<String> {
        val runLine = deployFile.readLines().first { it.startsWith(RUN_KEY) }
        return runLine
            .substringAfter('"')
            .substringBeforeLast('"')
            .split(' ')
            .filter { it.startsWith("-") && it != "-jar" }
    }

    private fun createArchive() {
        archive.deleteIfExists()
        val output = createTempFile("load-classes", ".log")
        val options = listOf("-XX:ArchiveClassesAtExit=$archive", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")
        val process =
            ProcessBuilder(listOf(JAVA) + options + listOf("-jar", "$jar", "load-classes"))
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start()
        val hasEnded = process.waitFor(ARCHIVE_TIMEOUT_S, TimeUnit.SECONDS)
        process.destroyForcibly().waitFor()
        check(hasEnded && process.exitValue() == 0 && Files.exists(archive)) { "no archive: ${output.readLines().takeLast(LOG_LINES)}" }
        output.deleteIfExists()
    }

    /** The packaged gateway. */
    companion object {
        /** Command of the gateway that the build has packaged; its archive is created once for all tests of this process. */
        val packaged: GatewayCommand by lazy {
            GatewayCommand(
                Path.of(System.getProperty("repository.root"), "deploy", "system.toml"),
                Path.of(System.getProperty("gateway.jar")),
                Path.of(System.getProperty("work.directory")),
            )
        }

        private const val RUN_KEY = "run = "
        private const val ARCHIVE_TIMEOUT_S = 120L
        private const val LOG_LINES = 20
        private val JAVA = System.getProperty("java.home") + "/bin/java"
    }
}
