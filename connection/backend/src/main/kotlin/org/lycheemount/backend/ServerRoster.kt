package org.lycheemount.backend

import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId

/**
 * Backend servers by the entries that they keep in the platform's store. Pure; not thread-safe.
 *
 * Entries lapse while the store is away, and live servers are back soon after its return. Until then a removed entry is no
 * evidence that its server has gone, and dropping all servers at once would refuse every request.
 *
 * @param lapseGraceMs time after the store's return in which live servers write their entries again.
 */
class ServerRoster(
    private val lapseGraceMs: Long = DEFAULT_LAPSE_GRACE_MS,
) {
    private val listed = LinkedHashMap<BackendServerId, BackendServer>()
    private val lapsed = LinkedHashMap<BackendServerId, BackendServer>()
    private var isAway = false
    private var returnedAtMs = Long.MIN_VALUE / 2

    /** Servers to use, those that announced their shutdown included. */
    val servers: List<BackendServer> get() = listed.values + lapsed.values

    /** The store has not answered, or answers this router no more. */
    fun onStoreAway() {
        isAway = true
    }

    /** The store has answered at [nowMs]. */
    fun onStoreAnswered(nowMs: Long) {
        if (!isAway) return
        isAway = false
        returnedAtMs = nowMs
    }

    /** Takes over all entries as they are at [nowMs]. */
    fun onList(
        current: List<BackendServer>,
        nowMs: Long,
    ) {
        val ids = current.mapTo(HashSet()) { it.backendServerId }
        (listed.keys - ids).forEach { onRemoved(it, nowMs) }
        current.forEach(::onEntry)
    }

    /** Takes over one entry. */
    fun onEntry(server: BackendServer) {
        lapsed.remove(server.backendServerId)
        listed[server.backendServerId] = server
    }

    /** An entry was removed. */
    fun onRemoved(
        id: BackendServerId,
        nowMs: Long,
    ) {
        val server = listed.remove(id) ?: return
        if (!server.leaving && nowMs < returnedAtMs + lapseGraceMs) lapsed[id] = server
    }

    /** Drops servers whose entries lapsed and did not come back in time; true when there were any. */
    fun expireLapsed(nowMs: Long): Boolean {
        if (lapsed.isEmpty() || nowMs < returnedAtMs + lapseGraceMs) return false
        lapsed.clear()
        return true
    }

    private companion object {
        // Live servers write their entries about every 1.2 s and are back within about two seconds of the store's return.
        private const val DEFAULT_LAPSE_GRACE_MS = 2_200L
    }
}
