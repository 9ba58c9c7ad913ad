package org.lycheemount.app.ctl

import kotlinx.coroutines.runBlocking
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

/** Runs `lycheectl`, the command line tool of operators. */
fun main(arguments: Array<String>) {
    val (options, action) = CommandLine().parse(arguments) ?: exitProcess(ExitCode.USAGE.value)
    val key = options.keyFile?.let { Files.readString(Path.of(it)).trim() } ?: System.getenv("LYCHEEMOUNT_ADMIN_KEY").orEmpty()
    val exitCode =
        createHttpClient(options.trustedCertificates?.let { createTrustManager(Path.of(it)) }).use { http ->
            val output = Output(options.format, System.out, System.err)
            runBlocking { Commands(AdminClient(http, options.url, key), output).action() }
        }
    exitProcess(exitCode.value)
}
