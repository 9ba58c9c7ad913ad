package org.lycheemount.config

/** Finds the route of a request: the longest prefix of its path among the routes of its host. Immutable. */
class RouteTable(
    routes: Collection<Route>,
) {
    private val routesByHost =
        routes.groupBy { it.host.lowercase() }.mapValues { (_, hostRoutes) -> hostRoutes.associateBy { it.pathPrefix } }

    /** Returns the route for [path] without its query, or null. The port of [host] is ignored. */
    fun find(
        host: String,
        path: String,
    ): Route? {
        val hostRoutes = routesByHost[host.substringBefore(':').lowercase()] ?: return null
        // Prefixes end with a slash, so only the parts of the path up to one of its slashes can match.
        var end = path.lastIndexOf('/')
        while (end >= 0) {
            hostRoutes[path.substring(0, end + 1)]?.let { return it }
            end = if (end == 0) -1 else path.lastIndexOf('/', end - 1)
        }
        return null
    }
}
