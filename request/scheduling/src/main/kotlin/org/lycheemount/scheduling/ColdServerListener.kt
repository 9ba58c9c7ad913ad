package org.lycheemount.scheduling

/** Limits the requests to cold servers. */
interface ColdServerListener {
    /**
     * Replaces the cold servers. Also covers servers that the list of servers adds later, so that a server that joins cold is limited from
     * its first request on.
     */
    fun onColdServers(
        servers: Collection<ColdServer>,
        nowMs: Long,
    ) {}
}
