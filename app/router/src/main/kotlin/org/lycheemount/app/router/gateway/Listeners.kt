package org.lycheemount.app.router.gateway

import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.connector

/** Adds a listener on [address], given as `IP address:port`. */
internal fun CIOApplicationEngine.Configuration.listenOn(address: String) {
    connector {
        host = hostOf(address)
        port = portOf(address)
    }
    // Longer than callers keep idle connections, so that the callers and not the router close them.
    connectionIdleTimeoutSeconds = IDLE_TIMEOUT_S
}

/** Returns the host of [address], given as `IP address:port`. */
internal fun hostOf(address: String): String = address.substringBeforeLast(':')

/** Returns the port of [address], given as `IP address:port`. */
internal fun portOf(address: String): Int = address.substringAfterLast(':').toInt()

private const val IDLE_TIMEOUT_S = 60
