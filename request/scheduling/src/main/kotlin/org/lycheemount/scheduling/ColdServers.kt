package org.lycheemount.scheduling

import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.ServiceId
import org.lycheemount.common.VmId

// Rows are read about once a second, so a row may be older than what a peer has told.
private const val ROW_AGE_MS = 1_000L

// Later readings of a row that counts down differ by little.
private const val NEWS_MS = 500L

// A statement that returns by way of other routers is later by the time of the messages, and is no prolongation.
private const val MESSAGE_DELAY_MS = 50L

/**
 * Until when a run of a server is cold, as read from its row by this router or another.
 *
 * @property endsAtMs monotonic time of this router.
 * @property asOfMs monotonic time of this router at which the row was read.
 */
data class ColdStatement(
    val backendServerId: BackendServerId,
    val vmId: VmId,
    val endsAtMs: Long,
    val asOfMs: Long,
)

/**
 * What a service says about its cold servers.
 *
 * @property durationMs time for which a server is cold after a start.
 * @property requestsPerS requests that all routers together may send a cold server.
 */
data class ColdService(
    val durationMs: Long,
    val requestsPerS: Double,
)

/** Servers that became cold, and runs of servers that became warm. */
data class ColdChanges(
    val cold: List<ColdStatement>,
    val warm: List<BackendServerId>,
)

/**
 * Decides which servers are cold; handles servers that start, or return idle, while routers send a usual load.
 *
 * The time of a row is counted down from its reading, so it ends too late rather than too early. A server that appears later than the first
 * list and whose row does not say how cold it is counts as cold for the time that its service names, since the row may be late.
 *
 * Not thread-safe. Times are monotonic times of this router.
 */
class ColdServers {
    private val statements = HashMap<VmId, ColdStatement>()
    private val toldByPeers = HashSet<VmId>()
    private val toldEndsAtMs = HashMap<VmId, Long>()
    private var services = emptyMap<ServiceId, ColdService>()
    private var listed: Map<VmId, BackendServer>? = null
    private var reportedCold = emptyMap<VmId, BackendServerId>()

    /** Replaces the services whose cold servers have a limit. */
    fun onServices(services: Map<ServiceId, ColdService>) {
        this.services = services
    }

    /** The service of [server] if its cold servers have a limit. */
    fun serviceOf(server: BackendServer): ColdService? =
        server.targets.firstNotNullOfOrNull { target -> (target as? BackendTarget.Service)?.let { services[it.serviceId] } }

    /** Applies the time in the row of [server]. Called before [onBackendServers] with the same row. */
    fun onRow(
        server: BackendServer,
        remainingMs: Long,
        nowMs: Long,
    ) {
        val read = ColdStatement(server.backendServerId, server.vmId, nowMs + remainingMs, nowMs)
        val known = statements[server.vmId]
        val mayBeOlder = known != null && server.vmId in toldByPeers && nowMs - known.asOfMs < ROW_AGE_MS
        if (mayBeOlder && read.endsAtMs < known.endsAtMs) return
        statements[server.vmId] = read
        toldByPeers -= server.vmId
    }

    /** Replaces the list of servers. */
    fun onBackendServers(
        servers: List<BackendServer>,
        nowMs: Long,
    ) {
        val before = listed
        listed = servers.associateBy { it.vmId }
        statements.values.removeIf { it.endsAtMs <= nowMs && it.asOfMs < nowMs - ROW_AGE_MS }
        toldByPeers.retainAll(statements.keys)
        toldEndsAtMs.values.removeIf { it <= nowMs }
        if (before == null) return
        for (server in servers.filter { it.vmId !in before && it.vmId !in statements }) {
            val durationMs = serviceOf(server)?.durationMs ?: continue
            statements[server.vmId] = ColdStatement(server.backendServerId, server.vmId, nowMs + durationMs, nowMs)
        }
    }

    /** Applies what a peer has told. It can only prolong the time, as the peer's row may be older than this router's. */
    fun onPeerStatement(statement: ColdStatement) {
        val known = statements[statement.vmId]
        if (known != null && (known.asOfMs > statement.asOfMs || known.endsAtMs + MESSAGE_DELAY_MS >= statement.endsAtMs)) return
        statements[statement.vmId] = statement
        toldByPeers += statement.vmId
    }

    /** The cold servers that have a limit, with the rate of requests that [policy] allows. */
    fun limitedServers(
        policy: ColdLimitPolicy,
        nowMs: Long,
    ): List<ColdServer> =
        currentStatements(nowMs).mapNotNull { (server, statement) ->
            serviceOf(server)?.let {
                ColdServer(statement.backendServerId, statement.vmId, policy.slotsPerS(it.requestsPerS), statement.endsAtMs)
            }
        }

    /** What has changed since the last call. */
    fun takeChanges(nowMs: Long): ColdChanges {
        val cold = currentStatements(nowMs).filterKeys { serviceOf(it) != null }.values
        val before = reportedCold
        reportedCold = cold.associate { it.vmId to it.backendServerId }
        val warm = before.filterKeys { it !in reportedCold && it in listed.orEmpty() }.values
        return ColdChanges(cold.filter { it.vmId !in before }, warm.toList())
    }

    /** What the other routers may not know yet. Counts as told after the call. */
    fun takeUntold(nowMs: Long): List<ColdStatement> {
        val untold =
            currentStatements(nowMs).filterKeys { serviceOf(it) != null }.values.filter {
                it.endsAtMs > (toldEndsAtMs[it.vmId] ?: Long.MIN_VALUE / 2) + NEWS_MS
            }
        untold.forEach { toldEndsAtMs[it.vmId] = it.endsAtMs }
        return untold
    }

    /** All that is known about cold servers, for a router that may not know it. */
    fun statements(nowMs: Long): List<ColdStatement> = currentStatements(nowMs).filterKeys { serviceOf(it) != null }.values.toList()

    private fun currentStatements(nowMs: Long): Map<BackendServer, ColdStatement> {
        val current = LinkedHashMap<BackendServer, ColdStatement>()
        for (server in listed.orEmpty().values) {
            statements[server.vmId]?.takeIf { it.endsAtMs > nowMs }?.let { current[server] = it }
        }
        return current
    }
}
