package org.lycheemount.app.router.gateway

import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterId
import org.lycheemount.config.ConfigurationView

/** Tells for how long this router has known of a configuration that is newer than the active one. Thread-safe. */
internal class ConfigurationLag(
    private val configuration: ConfigurationView,
    private val clock: Clock,
    private val eventLog: EventLog,
) {
    private var behindSinceMs: Long? = null
    private var lastLoggedAtMs = Long.MIN_VALUE / 2

    /** Newest version that this router or a peer has reported; 0 before the first. */
    @get:Synchronized
    var newestKnownVersion: Long = 0
        private set

    /** Whether this router has heard of a version newer than the active one. */
    @get:Synchronized
    val isBehind: Boolean get() = configuration.current().sequence < newestKnownVersion

    /** Time since this router first heard of a version newer than the active one, in milliseconds; 0 if it has the newest. */
    @get:Synchronized
    val behindMs: Long
        get() {
            val sinceMs = behindSinceMs ?: return 0
            return if (configuration.current().sequence >= newestKnownVersion) 0 else clock.monotonicMs() - sinceMs
        }

    /** The peer [from] has [version]. */
    @Synchronized
    fun onPeerVersion(
        from: RouterId,
        version: Long,
    ) {
        val activeVersion = configuration.current().sequence
        val nowMs = clock.monotonicMs()
        newestKnownVersion = maxOf(newestKnownVersion, version, activeVersion)
        if (activeVersion >= newestKnownVersion) {
            behindSinceMs = null
            return
        }
        val sinceMs = behindSinceMs ?: nowMs.also { behindSinceMs = it }
        if (nowMs - sinceMs < MIN_LOGGED_LAG_MS || nowMs - lastLoggedAtMs < LOG_INTERVAL_MS) return
        lastLoggedAtMs = nowMs
        eventLog.warn(
            "configuration_behind",
            "in_force" to activeVersion,
            "newest_known" to newestKnownVersion,
            "behind_ms" to nowMs - sinceMs,
            "reported_by" to from.value,
        )
    }

    private companion object {
        private const val MIN_LOGGED_LAG_MS = 500L
        private const val LOG_INTERVAL_MS = 1_000L
    }
}
