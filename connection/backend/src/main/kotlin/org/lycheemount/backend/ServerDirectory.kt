package org.lycheemount.backend

import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId

/**
 * Backend servers by the entries that they keep in the platform's store. Pure; not thread-safe.
 *
 * Entries lapse while the store is away, and live servers are back soon after its return. Until then a removed entry is no
 * evidence that its server has gone, and dropping all servers at once would refuse every request.
 *
 * @param expiryGraceMs time after the store's return in which live servers write their entries again.
 */
class ServerDirectory(
    private val expiryGraceMs: Long = DEFAULT_EXPIRY_GRACE_MS,
) {
    private val listedServers = LinkedHashMap<BackendServerId, BackendServer>()
    private val expiredServers = LinkedHashMap<BackendServerId, BackendServer>()
    private var isStoreUnavailable = false
    private var storeRecoveredAtMs = Long.MIN_VALUE / 2

    /** Servers to use, those that announced their shutdown included. */
    val servers: List<BackendServer> get() = listedServers.values + expiredServers.values

    /** The store has not answered, or answers this router no more. */
    fun onStoreUnavailable() {
        isStoreUnavailable = true
    }

    /** The store has answered at [nowMs]. */
    fun onStoreResponded(nowMs: Long) {
        if (!isStoreUnavailable) return
        isStoreUnavailable = false
        storeRecoveredAtMs = nowMs
    }

    /** Takes over all entries as they are at [nowMs]. */
    fun onList(
        current: List<BackendServer>,
        nowMs: Long,
    ) {
        val ids = current.mapTo(HashSet()) { it.backendServerId }
        (listedServers.keys - ids).forEach { onRemoved(it, nowMs) }
        current.forEach(::onEntry)
    }

    /** Takes over one entry. */
    fun onEntry(server: BackendServer) {
        expiredServers.remove(server.backendServerId)
        listedServers[server.backendServerId] = server
    }

    /** An entry was removed. */
    fun onRemoved(
        id: BackendServerId,
        nowMs: Long,
    ) {
        val server = listedServers.remove(id) ?: return
        if (!server.leaving && nowMs < storeRecoveredAtMs + expiryGraceMs) expiredServers[id] = server
    }

    /** Drops servers whose entries lapsed and did not come back in time; true when there were any. */
    fun removeExpired(nowMs: Long): Boolean {
        if (expiredServers.isEmpty() || nowMs < storeRecoveredAtMs + expiryGraceMs) return false
        expiredServers.clear()
        return true
    }

    private companion object {
        // Live servers write their entries about every 1.2 s and are back within about two seconds of the store's return.
        private const val DEFAULT_EXPIRY_GRACE_MS = 2_200L
    }
}
