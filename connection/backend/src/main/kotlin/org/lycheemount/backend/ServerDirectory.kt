package org.lycheemount.backend

import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.VmId

/**
 * Backend servers that are registered in the platform's store. Performs no I/O; not thread-safe.
 *
 * Entries expire while the store is unavailable, and live servers register again soon after it recovers. Until then, a
 * removed entry is no evidence that its server is gone. Removing all servers at once would cause every request to be rejected.
 *
 * A store that has come back from an older copy lists runs of servers as ready again that were leaving or gone. They count as leaving until
 * they write their entries again. A run that another one of the same server had replaced does not replace that one.
 *
 * @param expiryGraceMs time after the recovery of the store in which live servers write their entries again.
 * @param minOutageMs length of an outage of the store after which entries of live servers may have expired.
 */
class ServerDirectory(
    private val expiryGraceMs: Long = DEFAULT_EXPIRY_GRACE_MS,
    private val minOutageMs: Long = DEFAULT_MIN_OUTAGE_MS,
) {
    private val listedServers = LinkedHashMap<BackendServerId, BackendServer>()
    private val expiredServers = LinkedHashMap<BackendServerId, BackendServer>()

    /** The latest runs of servers that were leaving or gone, the oldest first. */
    private val leftRuns = LinkedHashSet<VmId>()
    private var isListRestored = false
    private var isStoreUnavailable = false
    private var storeRespondedAtMs: Long? = null
    private var storeFailedAtMs: Long? = null
    private var outageStartedAtMs: Long? = null
    private var storeRecoveredAtMs = Long.MIN_VALUE / 2

    /** Servers to use, including those that announced their shutdown. */
    val servers: List<BackendServer> get() = listedServers.values + expiredServers.values

    /**
     * Time at which [removeExpired] has to be called after one more read of the store, which shows the servers that are registered again;
     * null without expired entries.
     */
    val graceEndsAtMs: Long? get() = if (expiredServers.isEmpty()) null else storeRecoveredAtMs + expiryGraceMs

    /** A call to the store failed at [nowMs]. */
    fun onStoreUnavailable(nowMs: Long) {
        val failedAtMs = storeFailedAtMs
        // Calls that fail in short succession are one outage, even if the store responds to some in between.
        if (failedAtMs == null || nowMs - failedAtMs > minOutageMs) outageStartedAtMs = storeRespondedAtMs
        storeFailedAtMs = nowMs
        isStoreUnavailable = true
    }

    /** The store responded at [nowMs]. */
    fun onStoreResponded(nowMs: Long) {
        // The process may have been stopped during the outage, so that none of its calls failed.
        val unavailableSinceMs = if (isStoreUnavailable) outageStartedAtMs else storeRespondedAtMs
        if (unavailableSinceMs != null && nowMs - unavailableSinceMs >= minOutageMs) storeRecoveredAtMs = nowMs
        isStoreUnavailable = false
        storeRespondedAtMs = nowMs
    }

    /** The store has come back from an older copy, as was noticed at [nowMs]: entries that were written since that copy are missing. */
    fun onStoreRestored(nowMs: Long) {
        storeRecoveredAtMs = nowMs
        isListRestored = true
    }

    /** Replaces all entries with [current], the list read at [nowMs]. */
    fun onList(
        current: List<BackendServer>,
        nowMs: Long,
    ) {
        val listed = if (isListRestored) current.filterNot(::isReplaced) else current
        val ids = listed.mapTo(HashSet()) { it.backendServerId }
        (listedServers.keys - ids).forEach { onRemoved(it, nowMs) }
        listed.forEach { onEntry(if (isListRestored && it.vmId in leftRuns) it.copy(leaving = true) else it) }
        isListRestored = false
    }

    private fun isReplaced(server: BackendServer): Boolean {
        val known = listedServers[server.backendServerId] ?: return false
        return known.vmId != server.vmId && server.vmId in leftRuns
    }

    /** Adds or updates one entry. */
    fun onEntry(server: BackendServer) {
        val expired = expiredServers.remove(server.backendServerId)
        val replaced = listedServers.put(server.backendServerId, server) ?: expired
        if (replaced != null && replaced.vmId != server.vmId) noteLeft(replaced)
        if (server.leaving) noteLeft(server) else leftRuns -= server.vmId
    }

    /** The entry of [id] was removed from the store at [nowMs]. */
    fun onRemoved(
        id: BackendServerId,
        nowMs: Long,
    ) {
        val server = listedServers.remove(id) ?: return
        if (!server.leaving && nowMs < storeRecoveredAtMs + expiryGraceMs) expiredServers[id] = server else noteLeft(server)
    }

    private fun noteLeft(server: BackendServer) {
        leftRuns += server.vmId
        if (leftRuns.size > MAX_LEFT_RUNS) leftRuns.remove(leftRuns.first())
    }

    /** Removes servers whose expired entries were not written again in time; returns whether there were any. */
    fun removeExpired(nowMs: Long): Boolean {
        if (expiredServers.isEmpty() || nowMs < storeRecoveredAtMs + expiryGraceMs) return false
        expiredServers.values.forEach(::noteLeft)
        expiredServers.clear()
        return true
    }

    private companion object {
        // Live servers write their entries about every 1.2 s and reappear within about two seconds of the store's recovery.
        private const val DEFAULT_EXPIRY_GRACE_MS = 2_200L

        private const val MAX_LEFT_RUNS = 1_000

        // An entry expires after three such intervals without a write, of which one may have passed before the outage.
        private const val DEFAULT_MIN_OUTAGE_MS = 2_400L
    }
}
