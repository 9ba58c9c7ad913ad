package org.lycheemount.config

import kotlinx.serialization.Serializable
import org.lycheemount.common.ServiceId

/** Id of a route, which is also the work class id of its requests. */
@JvmInline
@Serializable
value class RouteId(
    val value: String,
)

/** Whether the requests of a route may be retried. */
@Serializable
enum class RouteKind {
    /** May run more than once. */
    IDEMPOTENT,

    /** Runs at most once. */
    NON_IDEMPOTENT,

    /** The response is a stream of numbered events; runs at most once unless the stream can be resumed. */
    STREAMING,
}

/** Service that receives a share of a route's requests in proportion to [weight]. */
@Serializable
data class RouteDestination(
    val serviceId: ServiceId,
    val weight: Int = 1,
)

/**
 * Passes requests for [host] whose path starts with [pathPrefix] through to services.
 *
 * @property pathPrefix begins and ends with a slash.
 * @property timeoutMs maximum duration of a request.
 * @property targetLatencyMs target time from arrival to the response, or to the first event of a stream.
 * @property gapTargetMs target for the maximum time between two events of a stream.
 * @property maxAttempts maximum number of backend servers that one request is sent to.
 * @property priority 0 is the most urgent.
 * @property isPublic whether requests are accepted without a bearer key.
 * @property isResumable whether another server can resume a stream after a given event.
 */
@Serializable
data class Route(
    val routeId: RouteId,
    val host: String,
    val pathPrefix: String,
    val kind: RouteKind,
    val destinations: List<RouteDestination>,
    val timeoutMs: Long,
    val targetLatencyMs: Long,
    val gapTargetMs: Long? = null,
    val maxAttempts: Int = 1,
    val priority: Int = 0,
    val isPublic: Boolean = false,
    val isResumable: Boolean = false,
) {
    /** Whether the responses are streams that can be resumed. */
    val hasResumableStreams: Boolean get() = kind == RouteKind.STREAMING && isResumable

    /** Whether a request may be retried after an attempt that may already have run. */
    val isRepeatable: Boolean get() = kind == RouteKind.IDEMPOTENT || hasResumableStreams

    /** Picks the destination of a request by [fraction], a uniformly distributed value from 0 (inclusive) to 1 (exclusive). */
    fun pickDestination(fraction: Double): ServiceId {
        val total = destinations.sumOf { it.weight }
        var remaining = fraction * total
        for (destination in destinations) {
            remaining -= destination.weight
            if (remaining < 0) return destination.serviceId
        }
        return destinations.last().serviceId
    }
}

/**
 * A service that routes lead to.
 *
 * @property maxConnections maximum connections that one server accepts from all routers together.
 * @property engine null for a plain service.
 * @property coldDurationMs time for which a server stays cold after a start; 0 if it does not.
 * @property coldRequestsPerS requests a second that a cold server tolerates from all routers together; 0 for no limit.
 */
@Serializable
data class RoutedService(
    val serviceId: ServiceId,
    val maxConnections: Int,
    val engine: EngineProperties? = null,
    val coldDurationMs: Long = 0,
    val coldRequestsPerS: Double = 0.0,
)

/**
 * Properties of the model engines of a service.
 *
 * @property tokensPerEvent output tokens in one event of a stream.
 */
@Serializable
data class EngineProperties(
    val tokensPerEvent: Int,
)

/**
 * Limits on what a caller may send to a listener.
 *
 * @property idleTimeoutMs time after which an idle connection may be closed.
 */
@Serializable
data class ListenerLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 4 * 1024 * 1024,
    val headerTimeoutMs: Long = 3_000,
    val idleTimeoutMs: Long = 15_000,
)
