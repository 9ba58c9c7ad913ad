package org.lycheemount.app.router.gateway

import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterId
import org.lycheemount.config.ConfigurationView
import java.util.TreeMap

/**
 * Tells for how long this router has known of a configuration that is newer than the active one. A version that no peer has reported for
 * [REPORT_LIFETIME_MS] no longer counts: a restored store may have lost it, and the peers that had it may be gone. Thread-safe.
 */
internal class ConfigurationLag(
    private val configuration: ConfigurationView,
    private val clock: Clock,
    private val eventLog: EventLog,
) {
    /** Time of the latest report of each version. A report of a lower version is kept only if it is later than those of all higher ones. */
    private val reportedAtMs = TreeMap<Long, Long>()
    private var behindSinceMs: Long? = null
    private var lastLoggedAtMs = Long.MIN_VALUE / 2

    /** The active version, or a newer one that a peer has reported in the last [REPORT_LIFETIME_MS]. */
    @get:Synchronized
    val newestKnownVersion: Long
        get() {
            removeExpiredReports()
            return maxOf(configuration.current().sequence, reportedAtMs.lastEntry()?.key ?: 0)
        }

    /** Whether a peer has a version newer than the active one. */
    @get:Synchronized
    val isBehind: Boolean get() = configuration.current().sequence < newestKnownVersion

    /** Time since this router first heard of a version newer than the active one, in milliseconds; 0 if it has the newest. */
    @get:Synchronized
    val behindMs: Long
        get() {
            val sinceMs = behindSinceMs ?: return 0
            return if (isBehind) clock.monotonicMs() - sinceMs else 0
        }

    /** The peer [from] has [version]. */
    @Synchronized
    fun onPeerVersion(
        from: RouterId,
        version: Long,
    ) {
        val nowMs = clock.monotonicMs()
        if (!isBehind) behindSinceMs = null
        reportedAtMs.headMap(version, true).clear()
        reportedAtMs[version] = nowMs
        if (!isBehind) return
        val sinceMs = behindSinceMs ?: nowMs.also { behindSinceMs = it }
        if (nowMs - sinceMs < MIN_LOGGED_LAG_MS || nowMs - lastLoggedAtMs < LOG_INTERVAL_MS) return
        lastLoggedAtMs = nowMs
        eventLog.warn(
            "configuration_behind",
            "in_force" to configuration.current().sequence,
            "newest_known" to newestKnownVersion,
            "behind_ms" to nowMs - sinceMs,
            "reported_by" to from.value,
        )
    }

    private fun removeExpiredReports() {
        val activeVersion = configuration.current().sequence
        reportedAtMs.headMap(activeVersion, true).clear()
        while (true) {
            val (version, atMs) = reportedAtMs.lastEntry() ?: return
            val ageMs = clock.monotonicMs() - atMs
            if (ageMs < REPORT_LIFETIME_MS) return
            reportedAtMs.remove(version)
            eventLog.warn("configuration_version_expired", "version" to version, "in_force" to activeVersion, "reported_ms_ago" to ageMs)
        }
    }

    private companion object {
        private const val REPORT_LIFETIME_MS = 30_000L
        private const val MIN_LOGGED_LAG_MS = 500L
        private const val LOG_INTERVAL_MS = 1_000L
    }
}
