package org.lycheemount.config

/** Whether this router has a configuration to work with. */
sealed interface ConfigurationReadiness {
    /**
     * A configuration is in force.
     *
     * @property ageMs time since the table last confirmed it; null when it came from peers and the table never answered.
     */
    data class Ready(
        val sequence: Long,
        val ageMs: Long?,
    ) : ConfigurationReadiness

    /** Neither the table nor a peer has answered, for [reason]. */
    data class NotReady(
        val reason: String,
    ) : ConfigurationReadiness
}

/** What propagation needs to know of the other routers; all functions are cheap and safe to call from any thread. */
interface ConfigurationPeers {
    /** Number of routers in the fleet, this one included; 0 while it is not known. */
    fun routerCount(): Int

    /** Neighbours that are not known to be gone. */
    fun pushTargets(): List<org.lycheemount.common.RouterId>
}
