package org.lycheemount.caller

import io.ktor.http.HttpHeaders
import io.ktor.server.application.install
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.routing.Route
import io.ktor.server.routing.RouteSelector
import io.ktor.server.routing.RouteSelectorEvaluation
import io.ktor.server.routing.RoutingResolveContext

/**
 * Adds the routes of [build] such that a call is cancelled when its caller closes the connection.
 *
 * Requests with `Connection: close` are exempt and continue until a write fails: Ktor's CIO engine reported their connection as closed
 * as soon as it has read the request, which would cancel the call before its response.
 */
internal fun Route.cancelOnDisconnect(build: Route.() -> Unit) {
    createChild(ConnectionSelector(closesConnection = false)).apply {
        install(HttpRequestLifecycle) { cancelCallOnClose = true }
        build()
    }
    createChild(ConnectionSelector(closesConnection = true)).build()
}

private class ConnectionSelector(
    private val closesConnection: Boolean,
) : RouteSelector() {
    override suspend fun evaluate(
        context: RoutingResolveContext,
        segmentIndex: Int,
    ): RouteSelectorEvaluation {
        val options =
            context.call.request.headers[HttpHeaders.Connection]
                .orEmpty()
        val isCloseRequested = options.split(',').any { it.trim().equals("close", ignoreCase = true) }
        return if (isCloseRequested == closesConnection) RouteSelectorEvaluation.Transparent else RouteSelectorEvaluation.FailedParameter
    }
}
