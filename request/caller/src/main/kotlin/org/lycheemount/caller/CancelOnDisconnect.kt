package org.lycheemount.caller

import io.ktor.http.HttpHeaders
import io.ktor.server.application.install
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.routing.Route
import io.ktor.server.routing.RouteSelector
import io.ktor.server.routing.RouteSelectorEvaluation
import io.ktor.server.routing.RoutingResolveContext

/**
 * Builds the same routes for two kinds of requests, of which the first are cancelled when their caller's connection closes.
 *
 * Ktor's CIO engine reports the connection as closed as soon as it has read a request with `Connection: close`, and the call would
 * be cancelled before its answer. Such a request goes on until a write fails.
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
