package org.lycheemount.app.router.gateway

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import org.lycheemount.backend.ServerDirectory
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.SoftwareVersion
import org.lycheemount.platform.RowListener
import org.lycheemount.platform.StoreEra
import org.lycheemount.platform.StoreRow
import org.lycheemount.platform.adapter.decodeServerEntry
import org.lycheemount.platform.adapter.statesSoftwareVersion

/**
 * Follows the rows of the backend servers in the store.
 *
 * @param onServers receives the servers after each change.
 * @param decodeEntry decodes the row of a server, given its id and value, or returns what is wrong with it.
 * @param onRow receives each decoded server with the value of its row, before [onServers] gets it.
 */
internal class ServerRowListener(
    private val onServers: (List<BackendServer>) -> Unit,
    private val clock: Clock,
    private val eventLog: EventLog,
    private val decodeEntry: (String, ByteArray) -> Result<BackendServer, String> = ::decodeServerEntry,
    private val onRow: (BackendServer, ByteArray) -> Unit = { _, _ -> },
) : RowListener {
    private val directory = ServerDirectory()
    private val reachabilityLog = StoreReachabilityLog("servers", eventLog)
    private val unreadableServerIds = HashSet<String>()
    private var era: StoreEra? = null

    /** Whether the rows have been read at least once. */
    @Volatile
    var hasServerList = false
        private set

    override val nextCallWithinMs: Long? get() = directory.graceEndsAtMs?.let { maxOf(0, it - clock.monotonicMs()) }

    override fun onEra(era: StoreEra?) {
        if (this.era != null && era != this.era) directory.onStoreRestored(clock.monotonicMs())
        this.era = era
    }

    override fun onAllRows(rows: List<StoreRow>) {
        directory.onStoreResponded(clock.monotonicMs())
        directory.onList(rows.mapNotNull { row -> row.value?.let { decode(row.key, it) } }, clock.monotonicMs())
        hasServerList = true
        publish()
    }

    override fun onChangedRows(rows: List<StoreRow>) {
        directory.onStoreResponded(clock.monotonicMs())
        for (row in rows) {
            val server = row.value?.let { decode(row.key, it) }
            // An unreadable entry names no server, as in a list of all rows. A live server soon writes its own entry again.
            if (server == null) directory.onRemoved(BackendServerId(row.key), clock.monotonicMs()) else directory.onEntry(server)
        }
        publish()
    }

    override fun onResponded() {
        reachabilityLog.onResponded()
        directory.onStoreResponded(clock.monotonicMs())
        if (directory.removeExpired(clock.monotonicMs())) publish()
    }

    override fun onFailed(detail: String) {
        reachabilityLog.onFailed(detail)
        directory.onStoreUnavailable(clock.monotonicMs())
    }

    private fun decode(
        id: String,
        value: ByteArray,
    ) = decodeEntry(id, value).fold(
        { server ->
            unreadableServerIds -= id
            onRow(server, value)
            server
        },
        {
            if (unreadableServerIds.add(id)) eventLog.warn("server_entry_unreadable", "server" to id, "error" to it)
            null
        },
    )

    private var publishedServers = emptyMap<BackendServerId, PublishedState>()

    private fun publish() {
        val servers = directory.servers
        val states = servers.associate { it.backendServerId to PublishedState(it.leaving, it.softwareVersion) }
        if (states != publishedServers) {
            val added = states.keys - publishedServers.keys
            val removed = publishedServers.keys - states.keys
            val leaving = states.filter { (id, state) -> state.isLeaving && publishedServers[id]?.isLeaving == false }.keys
            eventLog.info(
                "servers_changed",
                "known" to states.size,
                "added" to added.joinToString(",") { it.value },
                "removed" to removed.joinToString(",") { it.value },
                "leaving" to leaving.joinToString(",") { it.value },
                "versions" to describeVersions(servers),
            )
            publishedServers = states
        }
        onServers(servers)
    }

    /** Returns the number of servers of each software version. */
    private fun describeVersions(servers: List<BackendServer>): String =
        servers
            .groupingBy { if (it.statesSoftwareVersion) it.softwareVersion.value else "unstated" }
            .eachCount()
            .toSortedMap()
            .entries
            .joinToString(",") { (version, count) -> "$version:$count" }

    private data class PublishedState(
        val isLeaving: Boolean,
        val version: SoftwareVersion,
    )
}
