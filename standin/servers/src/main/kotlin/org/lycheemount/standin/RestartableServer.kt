package org.lycheemount.standin

import io.ktor.server.application.Application
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import kotlinx.coroutines.runBlocking
import java.io.IOException
import java.net.InetSocketAddress
import java.net.ServerSocket

/** HTTP server that can die and come back on the same port. */
internal class RestartableServer(
    private val host: String,
    port: Int,
    private val module: Application.() -> Unit,
) {
    private var running: EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration>? = null

    /** Port in use; taken from the system at the first start when 0 was asked for. */
    var port: Int = port
        private set

    @Synchronized
    fun start() {
        check(running == null) { "server on port $port already runs" }
        val server =
            embeddedServer(
                CIO,
                configure = {
                    reuseAddress = true
                    connectionIdleTimeoutSeconds = IDLE_TIMEOUT_SECONDS
                    connector {
                        host = this@RestartableServer.host
                        port = this@RestartableServer.port
                    }
                },
                module = module,
            )
        if (port != 0) awaitFreePort()
        server.start(wait = false)
        port =
            runBlocking {
                server.engine
                    .resolvedConnectors()
                    .first()
                    .port
            }
        running = server
    }

    /** Closes the listener and all connections, and returns when the port refuses connections. */
    @Synchronized
    fun stop() {
        val server = running ?: return
        server.stop(gracePeriodMillis = 0, timeoutMillis = 0)
        running = null
        awaitFreePort()
    }

    /** Ktor closes a stopped listener some time after its stop has returned. */
    private fun awaitFreePort() {
        repeat(BIND_ATTEMPTS) {
            if (canBind()) return
            Thread.sleep(BIND_RETRY_MS)
        }
        error("port $port on $host is in use")
    }

    private fun canBind(): Boolean =
        try {
            ServerSocket().use {
                it.reuseAddress = true
                it.bind(InetSocketAddress(host, port))
            }
            true
        } catch (failure: IOException) {
            false
        }

    private companion object {
        private const val BIND_ATTEMPTS = 500
        private const val BIND_RETRY_MS = 10L
        private const val IDLE_TIMEOUT_SECONDS = 60
    }
}
