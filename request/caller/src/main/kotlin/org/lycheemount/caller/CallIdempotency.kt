package org.lycheemount.caller

import org.lycheemount.config.PlainService

private val idempotentMethods = setOf("GET", "HEAD", "PUT", "DELETE", "OPTIONS")

/** Whether a call is idempotent, as set by the first matching route of [service] or else by its HTTP method. */
internal fun isIdempotent(
    service: PlainService,
    method: String,
    path: String,
): Boolean {
    val route = service.routes.firstOrNull { it.method.equals(method, ignoreCase = true) && path.startsWith(it.pathPrefix) }
    return route?.isIdempotent ?: (method.uppercase() in idempotentMethods)
}
