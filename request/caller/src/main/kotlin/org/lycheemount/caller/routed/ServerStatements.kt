package org.lycheemount.caller.routed

import org.lycheemount.caller.WorkDispatcher
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterId
import org.lycheemount.scheduling.LeavingStatement
import org.lycheemount.scheduling.RequestLimitStatement

/**
 * Keeps what backend servers say about themselves in their responses, and passes it on to the dispatcher. Thread-safe.
 *
 * @param announce tells the other routers about a change of a request limit.
 * @param announceLeaving tells the other routers that a server leaves, or that it stays after all.
 */
class ServerStatements(
    private val dispatcher: WorkDispatcher,
    private val clock: Clock,
    private val eventLog: EventLog,
    private val announce: (RequestLimitStatement) -> Unit = {},
    private val announceLeaving: (LeavingStatement) -> Unit = {},
) {
    /** Includes limits that have ended, so that an older message of a peer does not bring them back. */
    private val limits = HashMap<BackendServerId, RequestLimitStatement>()
    private val unreadableServers = HashSet<BackendServerId>()
    private val leavingServers = LeavingServers()

    /** Whether this run of [server] has said in a response that it leaves, to this router or to a peer. */
    @Synchronized
    fun hasSaidToLeave(server: BackendServer): Boolean = leavingServers.isLeaving(server)

    /** Replaces the list of servers, and passes it on with what they have said. */
    @Synchronized
    fun onBackendServers(current: List<BackendServer>) {
        leavingServers.forgetGone(current, clock.monotonicMs())
        dispatcher.onBackendServers(current, leavingServers.statements)
    }

    /** The head of a response of [server] says that it leaves. */
    @Synchronized
    fun onLeavingResponse(server: BackendServer) {
        leavingServers.onLeavingResponse(server, clock.monotonicMs())?.let { apply(it, SOURCE_RESPONSE) }
    }

    /** [server] has responded to a request sent at [sentAtMs] and does not say that it leaves. */
    @Synchronized
    fun onOtherResponse(
        server: BackendServer,
        sentAtMs: Long,
    ) {
        leavingServers.onOtherResponse(server, sentAtMs)?.let { apply(it, SOURCE_RESPONSE) }
    }

    /** Applies what the router [from] has told, unless this router knows better, and passes on what is new. */
    @Synchronized
    fun onPeerLeaving(
        from: RouterId,
        statement: LeavingStatement,
    ) {
        leavingServers.onPeerStatement(statement)?.let { apply(it, from.value) }
    }

    /** What servers have said about their shutdown, for routers that may not know it. */
    @Synchronized
    fun leavingStatements(): List<LeavingStatement> = leavingServers.statements

    private fun apply(
        statement: LeavingStatement,
        source: String,
    ) {
        dispatcher.onLeaving(statement)
        announceLeaving(statement)
        eventLog.info(
            "server_leaving",
            "server" to statement.backendServerId.value,
            "run" to statement.vmId.value,
            "leaving" to statement.isLeaving,
            "age_ms" to clock.monotonicMs() - statement.asOfMs,
            "source" to source,
        )
    }

    /**
     * Applies the request limit in a response of [server], as text, or its absence.
     *
     * @param sentAtMs time at which the request of this response was sent. A response without a limit ends only a limit that was named
     *   before, since responses may overtake each other.
     */
    @Synchronized
    fun onResponse(
        server: BackendServer,
        limitText: String?,
        sentAtMs: Long,
    ) {
        val known = limits[server.backendServerId]?.takeIf { it.vmId == server.vmId }
        if (limitText == null && (known?.requestsPerS == null || sentAtMs <= known.asOfMs)) return
        val requestsPerS = limitText?.let { parseLimit(server.backendServerId, it) ?: return }
        val asOfMs = if (limitText == null) sentAtMs else clock.monotonicMs()
        apply(known, RequestLimitStatement(server.backendServerId, server.vmId, requestsPerS, asOfMs), SOURCE_RESPONSE)
    }

    /** Applies what the router [from] has told, unless this router knows better, and passes on what is new. */
    @Synchronized
    fun onPeerStatement(
        from: RouterId,
        statement: RequestLimitStatement,
    ) {
        val latest = limits[statement.backendServerId]
        if (latest != null && statement.asOfMs <= latest.asOfMs) return
        val known = latest?.takeIf { it.vmId == statement.vmId }
        if (known?.requestsPerS == null && statement.requestsPerS == null) return
        apply(known, statement, from.value)
    }

    private fun apply(
        known: RequestLimitStatement?,
        statement: RequestLimitStatement,
        source: String,
    ) {
        if (known?.requestsPerS != statement.requestsPerS) {
            eventLog.info(
                "server_limit",
                "server" to statement.backendServerId.value,
                "requests_per_s" to statement.requestsPerS,
                "before" to known?.requestsPerS,
                "before_age_ms" to known?.let { clock.monotonicMs() - it.asOfMs },
                "source" to source,
            )
            announce(statement)
        }
        limits.values.removeIf { clock.monotonicMs() - it.asOfMs > RETENTION_MS }
        limits[statement.backendServerId] = statement
        dispatcher.onRequestLimit(statement)
    }

    /** Returns null for text that is no number; what the server said before then stays in force. */
    private fun parseLimit(
        serverId: BackendServerId,
        text: String,
    ): Double? {
        val limit = text.trim().toDoubleOrNull()?.takeUnless { it.isNaN() }
        val bounded = limit?.coerceIn(MIN_REQUESTS_PER_S, MAX_REQUESTS_PER_S)
        if (bounded != limit || limit == null) {
            if (unreadableServers.add(serverId)) {
                eventLog.warn(
                    "server_limit_out_of_range",
                    "server" to serverId.value,
                    "text" to text.take(MAX_LOGGED_CHARS),
                    "used" to bounded,
                )
            }
        } else {
            unreadableServers -= serverId
        }
        return bounded
    }

    private companion object {
        private const val SOURCE_RESPONSE = "response"

        // A server that takes nothing must still be asked now and then, since only its responses tell when it takes requests again.
        private const val MIN_REQUESTS_PER_S = 0.1
        private const val MAX_REQUESTS_PER_S = 10_000.0
        private const val MAX_LOGGED_CHARS = 40

        // Servers that have left are not reported here.
        private const val RETENTION_MS = 3_600_000L
    }
}
