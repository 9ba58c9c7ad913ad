package org.lycheemount.caller

import io.ktor.server.application.install
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.routing.Route
import io.ktor.server.routing.RouteSelector
import io.ktor.server.routing.RouteSelectorEvaluation
import io.ktor.server.routing.RoutingResolveContext

/** Adds the routes of [build] such that a call is cancelled when its caller closes the connection. */
internal fun Route.cancelOnDisconnect(build: Route.() -> Unit) {
    createChild(AnyCallSelector).apply {
        install(HttpRequestLifecycle) { cancelCallOnClose = true }
        build()
    }
}

private object AnyCallSelector : RouteSelector() {
    override suspend fun evaluate(
        context: RoutingResolveContext,
        segmentIndex: Int,
    ) = RouteSelectorEvaluation.Transparent
}
