package org.lycheemount.app.router.gateway

/**
 * Steps of a shutdown, in milliseconds after its start. Every step has an end, whatever the callers and the store do.
 *
 * Meant for restarts under load, in which most routers of an availability zone may stop at once. The load balancer then keeps sending
 * new connections to routers that fail their readiness checks, so they are accepted for as long as some requests can still be served.
 *
 * @property noticeEndsMs until then every request is admitted, since the load balancer may not have seen the failed checks.
 * @property listenerClosesMs from then on new connections are refused, so that their callers try another router at once.
 * @property responsesEndMs requests still running then get an error response, and streams are aborted.
 * @property connectionsCloseMs requests on open connections get a response until then, since their callers may not know of the shutdown.
 * @property exitMs the process exits, even if the store has not confirmed the return of all grants.
 */
internal data class ShutdownSchedule(
    val noticeEndsMs: Long,
    val listenerClosesMs: Long,
    val responsesEndMs: Long,
    val connectionsCloseMs: Long,
    val exitMs: Long,
) {
    /** Time for which connections stay open after the last request has ended. */
    val connectionLingerMs: Long get() = connectionsCloseMs - responsesEndMs
}

/** Creates the schedule of a process that is killed [graceMs] after the shutdown began. */
internal fun createShutdownSchedule(graceMs: Long) =
    ShutdownSchedule(
        noticeEndsMs = minOf(NOTICE_MS, graceMs / 2),
        listenerClosesMs = graceMs - minOf(LISTENER_MARGIN_MS, graceMs / 4),
        responsesEndMs = graceMs - minOf(RESPONSES_MARGIN_MS, graceMs / 6),
        connectionsCloseMs = graceMs - minOf(CONNECTIONS_MARGIN_MS, graceMs / 7),
        exitMs = graceMs - minOf(EXIT_MARGIN_MS, graceMs / 8),
    )

// The load balancer checks once a second and removes a router after two failed checks.
private const val NOTICE_MS = 3_000L
private const val LISTENER_MARGIN_MS = 1_500L
private const val RESPONSES_MARGIN_MS = 600L
private const val CONNECTIONS_MARGIN_MS = 450L

// Leaves time for the exit of the process on a busy processor.
private const val EXIT_MARGIN_MS = 400L
