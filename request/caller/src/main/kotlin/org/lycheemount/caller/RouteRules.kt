package org.lycheemount.caller

import org.lycheemount.config.PlainService

private val repeatableMethods = setOf("GET", "HEAD", "PUT", "DELETE", "OPTIONS")

/** Whether a call may be repeated: by the first route of the settings that matches, otherwise by its method. */
internal fun isRepeatable(
    service: PlainService,
    method: String,
    path: String,
): Boolean {
    val route = service.routes.firstOrNull { it.method.equals(method, ignoreCase = true) && path.startsWith(it.pathPrefix) }
    return route?.isIdempotent ?: (method.uppercase() in repeatableMethods)
}
