package org.lycheemount.caller.routed

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.uri
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import org.lycheemount.caller.ConfigurationIndex
import org.lycheemount.caller.ShutdownException
import org.lycheemount.caller.TeamAuthenticator
import org.lycheemount.caller.drainingRefusal
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.config.ConfigurationSnapshot
import org.lycheemount.config.Route
import org.lycheemount.config.RouteTable
import org.lycheemount.config.RoutedService
import org.lycheemount.config.Team

/**
 * What a request leads to in one version of the configuration.
 *
 * @property team null if the route is public.
 */
internal class RouteMatch(
    val route: Route,
    val service: RoutedService,
    val team: Team?,
    val sequence: Long,
)

/** Finds the route, the service and the team of a request in the active configuration. Thread-safe. */
internal class RouteMatcher(
    private val services: RoutedServices,
) {
    private val authenticator = TeamAuthenticator(services.configuration)

    private val index =
        ConfigurationIndex(services.configuration) { snapshot ->
            services.dispatcher.onWorkClasses(snapshot.workClasses)
            RouteIndex(snapshot)
        }

    /** Finds the route of [call]. Makes sure that the configuration is current before a route or key is refused as unknown. */
    suspend fun match(
        call: ApplicationCall,
        metadata: RequestMetadata,
    ): Result<RouteMatch, Refusal> {
        val reasons = services.cannotServeReasons()
        if (reasons.isNotEmpty()) return Err(Refusal(RefusalReason.NOT_READY, reasons.joinToString(), RETRY_MS))
        val first = find(call, metadata)
        if (first.isOk) return first
        // The process may exit before the configuration is refreshed.
        if (services.drain.isDraining) return Err(drainingRefusal(RETRY_MS))
        val isCurrent = refreshConfiguration(metadata)
        val second = find(call, metadata)
        if (isCurrent || second.isOk) return second
        // The route or key may have been added meanwhile, so the caller must not be told that it is unknown.
        return Err(Refusal(RefusalReason.NOT_READY, "the configuration could not be refreshed", RETRY_MS))
    }

    /** Returns false if the configuration may be outdated. A shutdown waits for the request, and ends its wait before the process exits. */
    private suspend fun refreshConfiguration(metadata: RequestMetadata): Boolean {
        // The request has to be served in the rest of its time.
        val patienceMs = minOf(MAX_CONFIGURATION_WAIT_MS, (metadata.deadlineMs ?: Long.MAX_VALUE) / 2)
        if (!services.drain.tryAdmit()) return false
        try {
            return coroutineScope { services.drain.cancelAtEnd { services.refreshConfiguration(patienceMs) } }
        } catch (exception: ShutdownException) {
            currentCoroutineContext().ensureActive()
            return false
        } finally {
            services.drain.release()
        }
    }

    private fun find(
        call: ApplicationCall,
        metadata: RequestMetadata,
    ): Result<RouteMatch, Refusal> {
        val current = index.current()
        val host = call.request.headers[HttpHeaders.Host].orEmpty()
        val route = current.routes.find(host, call.request.uri.substringBefore('?')) ?: return Err(UNKNOWN_ROUTE)
        val team =
            if (route.isPublic) {
                null
            } else {
                authenticator.authenticate(call.request.headers[HttpHeaders.Authorization]).getOrElse {
                    return Err(it)
                }
            }
        val serviceId = route.pickDestination(destinationFraction(route, metadata))
        val service = current.snapshot.routedServices[serviceId] ?: RoutedService(serviceId, maxConnections = 1)
        return Ok(RouteMatch(route, service, team, current.snapshot.sequence))
    }

    /** A stream and its resumptions get the same value, so that they reach the same service while the weights of the route are the same. */
    private fun destinationFraction(
        route: Route,
        metadata: RequestMetadata,
    ): Double {
        val firstAttemptId = metadata.resumedAttemptId ?: metadata.attemptId
        return if (route.hasResumableStreams && firstAttemptId != null) uniformHash(firstAttemptId) else Math.random()
    }

    private class RouteIndex(
        val snapshot: ConfigurationSnapshot,
    ) {
        val routes = RouteTable(snapshot.routes)
    }

    private companion object {
        // A starting router receives its configuration within a second.
        private const val RETRY_MS = 500L
        private const val MAX_CONFIGURATION_WAIT_MS = 2_000L
        private val UNKNOWN_ROUTE = Refusal(RefusalReason.UNKNOWN_SERVICE, "no route matches the host and path")
    }
}
