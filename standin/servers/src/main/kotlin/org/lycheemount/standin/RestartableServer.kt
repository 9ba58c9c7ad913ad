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

/** HTTP server that can be stopped and started again on the same port. */
internal class RestartableServer(
    private val host: String,
    port: Int,
    private val module: Application.() -> Unit,
) {
    private var running: EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration>? = null

    /** Port in use; assigned at the first start if configured as 0. */
    var port: Int = port
        private set

    @Synchronized
    fun start() {
        check(running == null) { "server on port $port is already running" }
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

    /** Closes the listener and all connections; returns once the port refuses connections. */
    @Synchronized
    fun stop() {
        val server = running ?: return
        server.stop(gracePeriodMillis = 0, timeoutMillis = 0)
        running = null
        awaitFreePort()
    }

    /** Ktor closes the listening socket only some time after `stop` has returned. */
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
