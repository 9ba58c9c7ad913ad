package org.lycheemount.app.router.gateway

import io.ktor.server.routing.Routing
import io.ktor.server.routing.routing
import org.lycheemount.app.router.OPERATIONS_BOUNDS
import org.lycheemount.app.router.OPERATIONS_MEMORY_BYTES
import org.lycheemount.caller.installPacedResponses
import org.lycheemount.common.Clock
import org.lycheemount.common.MemoryBudget
import org.lycheemount.listener.ConnectionLimits
import org.lycheemount.listener.createCallerServer
import java.net.InetSocketAddress

/**
 * Serves the readiness check and the metrics on [addresses], given as `IP address:port`. Its clients have no credentials. Its bounds are
 * separate from those of the listener for callers, so that neither can use up what the other needs.
 */
internal class OperationsListener(
    addresses: List<String>,
    clock: Clock,
    routes: Routing.() -> Unit,
) {
    private val memory = MemoryBudget(OPERATIONS_MEMORY_BYTES)
    private val server =
        createCallerServer(
            hostOf(addresses.first()),
            portOf(addresses.first()),
            furtherAddresses = addresses.drop(1).map { InetSocketAddress.createUnresolved(hostOf(it), portOf(it)) },
            bounds = OPERATIONS_BOUNDS,
            memory = memory,
            limits = { LIMITS },
        ) {
            installPacedResponses(memory, clock)
            routing(routes)
        }

    /** Opens the listeners. */
    fun start() = server.start()

    /** Closes the listeners and all connections. */
    suspend fun stop() = server.stop(graceMs = 0, lingerMs = 0)

    private companion object {
        // No request has a body.
        private val LIMITS = ConnectionLimits(initialBodyBytes = 0)
    }
}
