package org.lycheemount.app.router.gateway

import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.connector

/** Adds a listener on [address], given as `IP address:port`. */
internal fun CIOApplicationEngine.Configuration.listenOn(address: String) {
    connector {
        host = address.substringBeforeLast(':')
        port = address.substringAfterLast(':').toInt()
    }
    // Longer than callers keep idle connections, so that the callers and not the router close them.
    connectionIdleTimeoutSeconds = IDLE_TIMEOUT_S
}

private const val IDLE_TIMEOUT_S = 60
