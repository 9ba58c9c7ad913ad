package org.lycheemount.app.router.gateway

import org.lycheemount.caller.WorkDispatcher
import org.lycheemount.common.BackendServer
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterId
import org.lycheemount.common.ZoneId
import org.lycheemount.scheduling.ZoneEvacuations
import org.lycheemount.scheduling.ZoneEvacuations.PeerStatementOutcome
import org.lycheemount.scheduling.ZoneStatement

/**
 * Keeps which zones are evacuated, passes it on to the dispatcher, and logs each change. Thread-safe.
 *
 * @param announce tells the other routers what is new.
 */
internal class ZoneEvacuationState(
    private val dispatcher: WorkDispatcher,
    private val clock: Clock,
    private val eventLog: EventLog,
    private val announce: (List<ZoneStatement>) -> Unit = {},
) {
    private val evacuations = ZoneEvacuations()
    private var evacuatedZones = emptySet<ZoneId>()
    private var zonesOfServers = emptySet<ZoneId>()
    private val reportedUnknownZones = HashSet<ZoneId>()

    /** The newest statement on each zone, for metrics and for routers that may not know it. */
    @Synchronized
    fun statements(): List<ZoneStatement> = evacuations.statements

    /** A row of the store as of [version] in [era] says whether [zoneId] is evacuated. */
    @Synchronized
    fun onRow(
        zoneId: ZoneId,
        isEvacuated: Boolean,
        version: Long,
        era: Long? = null,
    ) {
        val statement = ZoneStatement(zoneId, isEvacuated, version, clock.monotonicMs(), era)
        if (evacuations.onRow(statement)) apply(listOf(statement), SOURCE_STORE)
    }

    /** All rows as of [version] in [era] have been passed on; [listed] are their zones, or null if only changes were read. */
    @Synchronized
    fun onCurrent(
        version: Long,
        listed: Set<ZoneId>?,
        era: Long? = null,
    ) {
        val ended = evacuations.onCurrent(version, listed, clock.monotonicMs(), era)
        if (ended.isNotEmpty()) apply(ended, SOURCE_STORE)
    }

    /** Applies what the router [from] has told, and passes on what is new. Returns statements that it lacks. */
    @Synchronized
    fun onPeerStatements(
        from: RouterId,
        statements: List<ZoneStatement>,
    ): List<ZoneStatement> {
        val outcomes = statements.associateWith { evacuations.onPeerStatement(it, clock.monotonicMs()) }
        val applied = outcomes.filterValues { it is PeerStatementOutcome.Applied }.keys.toList()
        if (applied.isNotEmpty()) apply(applied, from.value)
        return outcomes.values.filterIsInstance<PeerStatementOutcome.Outdated>().map { it.answer }
    }

    /** Replaces the list of servers, by which evacuated zones without servers are found. */
    @Synchronized
    fun onBackendServers(servers: List<BackendServer>) {
        zonesOfServers = servers.mapTo(HashSet()) { it.zoneId }
        reportUnknownZones()
    }

    private fun apply(
        statements: List<ZoneStatement>,
        source: String,
    ) {
        val before = evacuatedZones
        evacuatedZones = evacuations.evacuatedZones
        if (evacuatedZones != before) dispatcher.onEvacuatedZones(evacuatedZones)
        announce(statements)
        // A newer version of the same statement is passed on, but is no change.
        statements.filter { (it.zoneId in before) != it.isEvacuated }.forEach { log(it, source) }
        reportUnknownZones()
    }

    private fun log(
        statement: ZoneStatement,
        source: String,
    ) = eventLog.info(
        if (statement.isEvacuated) "zone_evacuated" else "zone_restored",
        "zone" to statement.zoneId.value,
        "version" to statement.version,
        "era" to statement.era,
        "source" to source,
        "age_ms" to clock.monotonicMs() - statement.asOfMs,
    )

    /** Logs each evacuated zone without servers once; no server is known before the first list. */
    private fun reportUnknownZones() {
        reportedUnknownZones.retainAll(evacuatedZones)
        if (zonesOfServers.isEmpty()) return
        for (zoneId in evacuatedZones - zonesOfServers) {
            if (reportedUnknownZones.add(zoneId)) eventLog.warn("zone_without_servers", "zone" to zoneId.value)
        }
    }

    private companion object {
        private const val SOURCE_STORE = "store"
    }
}
