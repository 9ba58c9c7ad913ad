package org.lycheemount.caller.routed

import org.lycheemount.caller.WorkDispatcher
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterId
import org.lycheemount.scheduling.LeavingStatement
import org.lycheemount.scheduling.PauseStatement
import org.lycheemount.scheduling.RequestLimitStatement
import org.lycheemount.scheduling.WorkTimeFactor
import kotlin.random.Random

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
    private val random: Random = Random.Default,
) {
    /** Includes limits that have ended, so that an older message of a peer does not bring them back. */
    private val limits = HashMap<BackendServerId, RequestLimitStatement>()
    private val unreadable = HashSet<UnreadableStatement>()
    private val workTimeReporters = HashSet<BackendServerId>()
    private val leavingServers = LeavingServers()
    private val pauses = HashMap<BackendServerId, PauseStatement>()

    /** Whether this run of [server] has said in a response that it leaves, to this router or to a peer. */
    @Synchronized
    fun hasSaidToLeave(server: BackendServer): Boolean = leavingServers.isLeaving(server)

    /** Whether this run of [server] has asked this router for a pause that has not ended. */
    @Synchronized
    fun hasAskedForPause(server: BackendServer): Boolean =
        pauses[server.backendServerId]?.let { it.vmId == server.vmId && clock.monotonicMs() < it.endsAtMs } ?: false

    /** Replaces the list of servers, and passes it on with what they have said. */
    @Synchronized
    fun onBackendServers(current: List<BackendServer>) {
        val nowMs = clock.monotonicMs()
        leavingServers.forgetGone(current, nowMs)
        pauses.values.removeIf { it.endsAtMs <= nowMs }
        workTimeReporters.retainAll(current.mapTo(HashSet()) { it.backendServerId })
        dispatcher.onBackendServers(current, leavingServers.statements, pauses.values)
    }

    /**
     * [server] has turned a request away and wants no other from this router for the time in [pauseText], in seconds. Says nothing to the
     * other routers, as the pause concerns this one only.
     */
    @Synchronized
    fun onPauseResponse(
        server: BackendServer,
        pauseText: String,
    ) {
        val pauseMs = parsePauseMs(server.backendServerId, pauseText) ?: return
        // Spreads the return of the routers that it has turned away together.
        val endsAtMs = clock.monotonicMs() + pauseMs + (pauseMs * MAX_LATE_RETURN_SHARE * random.nextDouble()).toLong()
        val known = pauses[server.backendServerId]?.takeIf { it.vmId == server.vmId }
        if (known != null && known.endsAtMs >= endsAtMs) return
        val statement = PauseStatement(server.backendServerId, server.vmId, endsAtMs)
        pauses[server.backendServerId] = statement
        eventLog.info("server_pause", "server" to server.backendServerId.value, "run" to server.vmId.value, "pause_ms" to pauseMs)
        dispatcher.onPause(statement)
    }

    /** Returns null for text that is no number of seconds above 0; such a server asks for nothing. */
    private fun parsePauseMs(
        serverId: BackendServerId,
        text: String,
    ): Long? {
        val pauseS = text.trim().toDoubleOrNull()?.takeIf { it > 0 }
        if (pauseS == null || pauseS > MAX_PAUSE_S) {
            warnOnce(UnreadableStatement(serverId, PAUSE_OUT_OF_RANGE), text, pauseS?.let { MAX_PAUSE_S })
        }
        return pauseS?.let { (minOf(it, MAX_PAUSE_S) * MS_PER_SECOND).toLong() }
    }

    /** A load report of [server] says how long work takes. Logged once while the server is listed, as it changes many times a second. */
    @Synchronized
    fun onWorkTime(
        server: BackendServer,
        workTime: WorkTimeFactor,
    ) {
        if (!workTimeReporters.add(server.backendServerId)) return
        eventLog.info("server_work_time", "server" to server.backendServerId.value, "ratio" to workTime.ratio)
    }

    /** A load report of [server] has [text] for the time that work takes. Logged once for each server; the other figures are used. */
    @Synchronized
    fun onUnusableWorkTime(
        server: BackendServer,
        text: String,
    ) = warnOnce(UnreadableStatement(server.backendServerId, WORK_TIME_OUT_OF_RANGE), text, used = null)

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
        limits.values.removeIf { isForgotten(it) }
        limits[statement.backendServerId] = statement
        dispatcher.onRequestLimit(statement)
    }

    /** A limit that holds is kept while its server is listed, since only a response tells its end. */
    private fun isForgotten(statement: RequestLimitStatement) =
        clock.monotonicMs() - statement.asOfMs > RETENTION_MS &&
            (statement.requestsPerS == null || dispatcher.isGone(statement.backendServerId))

    /** Returns null for text that is no number; what the server said before then stays in force. */
    private fun parseLimit(
        serverId: BackendServerId,
        text: String,
    ): Double? {
        val limit = text.trim().toDoubleOrNull()?.takeUnless { it.isNaN() }
        val bounded = limit?.coerceIn(MIN_REQUESTS_PER_S, MAX_REQUESTS_PER_S)
        if (bounded != limit || limit == null) {
            warnOnce(UnreadableStatement(serverId, LIMIT_OUT_OF_RANGE), text, bounded)
        } else {
            unreadable -= UnreadableStatement(serverId, LIMIT_OUT_OF_RANGE)
        }
        return bounded
    }

    private fun warnOnce(
        statement: UnreadableStatement,
        text: String,
        used: Double?,
    ) {
        if (!unreadable.add(statement)) return
        eventLog.warn(statement.event, "server" to statement.serverId.value, "text" to text.take(MAX_LOGGED_CHARS), "used" to used)
    }

    /** @property event name of the event that is logged for it. */
    private data class UnreadableStatement(
        val serverId: BackendServerId,
        val event: String,
    )

    private companion object {
        private const val SOURCE_RESPONSE = "response"
        private const val LIMIT_OUT_OF_RANGE = "server_limit_out_of_range"
        private const val PAUSE_OUT_OF_RANGE = "server_pause_out_of_range"
        private const val WORK_TIME_OUT_OF_RANGE = "server_work_time_out_of_range"

        // A server that takes nothing must still be asked now and then, since only its responses tell when it takes requests again.
        private const val MIN_REQUESTS_PER_S = 0.1
        private const val MAX_REQUESTS_PER_S = 10_000.0
        private const val MAX_LOGGED_CHARS = 40
        private const val MAX_PAUSE_S = 3_600.0
        private const val MAX_LATE_RETURN_SHARE = 0.1
        private const val MS_PER_SECOND = 1_000.0

        // Servers that have left are not reported here.
        private const val RETENTION_MS = 3_600_000L
    }
}
