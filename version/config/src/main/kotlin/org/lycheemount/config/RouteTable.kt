package org.lycheemount.config

/** Finds the route of a request: the longest matching path prefix among the routes of its host. Immutable. */
class RouteTable(
    routes: Collection<Route>,
) {
    private val routesByHost = routes.groupBy { it.host.lowercase() }.mapValues { (_, hostRoutes) -> HostRoutes(hostRoutes) }

    /** Returns the route for [path], which has no query, or null if none matches. The port of [host] is ignored. */
    fun find(
        host: String,
        path: String,
    ): Route? {
        val hostRoutes = routesByHost[host.substringBefore(':').lowercase()] ?: return null
        // Prefixes end with a slash, so only parts of the path that end with a slash can match.
        var end = path.lastIndexOf('/', hostRoutes.longestPrefixChars - 1)
        while (end >= 0) {
            hostRoutes.byPrefix[path.substring(0, end + 1)]?.let { return it }
            end = if (end == 0) -1 else path.lastIndexOf('/', end - 1)
        }
        return null
    }

    private class HostRoutes(
        routes: List<Route>,
    ) {
        val byPrefix = routes.associateBy { it.pathPrefix }

        /** Bounds the parts of a path that are looked up, however many slashes it has. */
        val longestPrefixChars = routes.maxOf { it.pathPrefix.length }
    }
}
