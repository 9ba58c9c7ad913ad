package org.lycheemount.config

/** Whether this router has a configuration. */
sealed interface ConfigurationReadiness {
    /**
     * A configuration is active.
     *
     * @property ageMs time since the table last confirmed it; null if it came from peers and the table has never responded.
     */
    data class Ready(
        val sequence: Long,
        val ageMs: Long?,
    ) : ConfigurationReadiness

    /** Neither the table nor a peer has provided a configuration, for [reason]. */
    data class NotReady(
        val reason: String,
    ) : ConfigurationReadiness
}

/** Information about other routers that propagation needs. All functions are inexpensive and thread-safe. */
interface ConfigurationPeers {
    /** Number of routers in the fleet, including this one; 0 while it is unknown. */
    fun routerCount(): Int

    /** Neighbours that are not known to have failed. */
    fun pushTargets(): List<org.lycheemount.common.RouterId>
}
