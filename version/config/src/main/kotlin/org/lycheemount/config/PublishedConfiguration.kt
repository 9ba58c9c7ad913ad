package org.lycheemount.config

import org.lycheemount.common.EventLog

/** Configuration that an operator publishes as whole snapshots. It never reverts to an older snapshot. Thread-safe. */
class PublishedConfiguration(
    private val eventLog: EventLog,
) : ConfigurationView {
    @Volatile
    private var snapshot = ConfigurationSnapshot()

    /** Whether a snapshot has been accepted. */
    val isLoaded: Boolean get() = snapshot.sequence > 0

    override fun current(): ConfigurationSnapshot = snapshot

    /** Activates [candidate] if it is newer than the current snapshot; returns false otherwise. */
    @Synchronized
    fun accept(candidate: ConfigurationSnapshot): Boolean {
        if (candidate.sequence <= snapshot.sequence) return false
        val previous = snapshot.sequence
        snapshot = candidate
        eventLog.info(
            "configuration_in_force",
            "version" to candidate.sequence,
            "previous" to previous,
            "routes" to candidate.routes.size,
            "teams" to candidate.teams.size,
        )
        return true
    }
}
