package org.lycheemount.scheduling

import org.lycheemount.common.RouterId

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
)
