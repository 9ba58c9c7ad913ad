package org.lycheemount.scheduling

import org.lycheemount.common.RouterId

private const val MAX_CLOCK_DRIFT_MS = 20L
private const val MAX_LATE_READING_MS = 2_000L

/**
 * The routers that share the request limits of backend servers, and the time base that they have in common.
 *
 * @property routers all routers that may send requests, including [self] once the others can know it. Routers with the same list divide a
 *   limit without further messages.
 * @property tableTimeOffsetMs clock of the platform's table minus the monotonic clock of this router, in milliseconds.
 */
data class RouterFleet(
    val self: RouterId,
    val routers: List<RouterId>,
    val tableTimeOffsetMs: Long,
) {
    /**
     * Whether [later] has the same routers and the same table time. The clocks of routers and table drift apart slowly, and each reading of
     * the table's clock is late by the time of a response.
     */
    internal fun isSameAs(later: RouterFleet): Boolean =
        routers == later.routers && later.tableTimeOffsetMs - tableTimeOffsetMs in -MAX_LATE_READING_MS..MAX_CLOCK_DRIFT_MS
}
