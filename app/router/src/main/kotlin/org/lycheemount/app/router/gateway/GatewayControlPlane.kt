package org.lycheemount.app.router.gateway

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.lycheemount.backend.ServerDirectory
import org.lycheemount.budget.BudgetChange
import org.lycheemount.budget.BudgetLimitWriter
import org.lycheemount.budget.BudgetMaintenance
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.BudgetId
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.SoftwareVersion
import org.lycheemount.config.ConfigurationSnapshot
import org.lycheemount.config.ConfigurationView
import org.lycheemount.platform.RowListener
import org.lycheemount.platform.StoreEra
import org.lycheemount.platform.StoreEras
import org.lycheemount.platform.StoreRow
import org.lycheemount.platform.adapter.CONFIGURATION_KEY
import org.lycheemount.platform.adapter.decodeServerEntry
import org.lycheemount.platform.adapter.statesSoftwareVersion

/** Activates the operator's configuration when its row changes. */
internal class ConfigurationRowListener(
    private val loader: ConfigurationLoader,
    private val clock: Clock,
    eventLog: EventLog,
) : RowListener {
    private val reachabilityLog = StoreReachabilityLog("operator", eventLog)
    private var era: StoreEra? = null
    private val startedAtMs = clock.monotonicMs()

    @Volatile
    private var confirmedAtMs: Long? = null

    /** Time since the store last confirmed that the configuration has been read up to its newest change, or since the start. */
    val confirmedAgeMs: Long get() = clock.monotonicMs() - (confirmedAtMs ?: startedAtMs)

    override fun onEra(era: StoreEra?) {
        this.era = era
    }

    override fun onAllRows(rows: List<StoreRow>) = onChangedRows(rows)

    override fun onChangedRows(rows: List<StoreRow>) {
        val row = rows.lastOrNull { it.key == CONFIGURATION_KEY } ?: return
        val value = row.value ?: return
        loader.load(value, "store_version" to row.version, "store_era" to era?.value)
    }

    override fun onResponded() {
        confirmedAtMs = clock.monotonicMs()
        reachabilityLog.onResponded()
    }

    override fun onFailed(detail: String) = reachabilityLog.onFailed(detail)
}

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

/** Logs each time the store becomes unreachable or reachable again. */
internal class StoreReachabilityLog(
    private val watchedRows: String,
    private val eventLog: EventLog,
) {
    private var isReachable: Boolean? = null

    fun onResponded() {
        if (isReachable != true) eventLog.info("store_reachable", "rows" to watchedRows)
        isReachable = true
    }

    fun onFailed(detail: String) {
        if (isReachable != false) eventLog.warn("store_unreachable", "rows" to watchedRows, "detail" to detail)
        isReachable = false
    }
}

/**
 * Writes the teams' prepaid tokens from the configuration into the budgets, and again when the store comes back from an older copy. Every
 * router tries to; the first write takes effect.
 */
internal class BudgetLimitUpdater(
    private val writer: BudgetLimitWriter,
    private val maintenance: BudgetMaintenance,
    private val configuration: ConfigurationView,
    private val eras: StoreEras,
    private val eventLog: EventLog,
) {
    private val configurationChanges = Channel<Unit>(Channel.CONFLATED)
    private var appliedLimits = emptyMap<BudgetId, Long>()

    /** Era of the store in which [appliedLimits] were written; a store that came back from an older copy may lack them. */
    @Volatile
    private var appliedEra: StoreEra? = null

    /** Whether the prepaid tokens of any configuration have been written to the table. */
    @Volatile
    var isApplied = false
        private set

    /** Schedules an update of the limits after a newer configuration has become active. */
    fun onConfigurationChanged() {
        configurationChanges.trySend(Unit)
    }

    fun start(scope: CoroutineScope) {
        scope.launch { for (change in configurationChanges) apply(configuration.current()) }
        scope.launch { eras.current.collect { if (isApplied && it != appliedEra) configurationChanges.trySend(Unit) } }
    }

    private suspend fun apply(snapshot: ConfigurationSnapshot) {
        val era = eras.current.value
        if (era != appliedEra) appliedLimits = emptyMap()
        val limits =
            snapshot.teams.values
                .mapNotNull { team -> team.prepaidTokens?.let { team.budgetId to it } }
                .toMap()
        val changedLimits = limits.filter { (budgetId, tokens) -> appliedLimits[budgetId] != tokens }
        for (batch in changedLimits.entries.chunked(MAX_BATCH_SIZE)) {
            if (!applyBatch(batch.associate { it.key to it.value }, snapshot.sequence)) return
        }
        appliedLimits = limits
        appliedEra = era
        isApplied = true
        if (eras.current.value != era) configurationChanges.trySend(Unit)
        if (changedLimits.isNotEmpty()) {
            maintenance.onLimitsChanged(changedLimits.keys)
            maintenance.prefetchGrants(changedLimits.keys)
        }
    }

    /** Retries until the limits are applied. Returns false if a newer configuration arrives first. */
    private suspend fun applyBatch(
        batch: Map<BudgetId, Long>,
        sequence: Long,
    ): Boolean {
        while (true) {
            val change = writer.setLimits(batch, sequence)
            eventLog.info("budget_limits", "version" to sequence, "budgets" to batch.size, "outcome" to change.javaClass.simpleName)
            if (change is BudgetChange.Applied) return true
            if (!configurationChanges.isEmpty) return false
            delay(RETRY_DELAY_MS)
        }
    }

    private companion object {
        // A transaction holds at most 100 entries, including checks and writes.
        private const val MAX_BATCH_SIZE = 30
        private const val RETRY_DELAY_MS = 300L
    }
}
