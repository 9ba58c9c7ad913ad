package org.lycheemount.caller.routed

import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.VmId
import org.lycheemount.scheduling.LeavingStatement

/**
 * Tracks which backend servers have said in their responses that they leave. Performs no I/O; not thread-safe.
 *
 * A statement holds for one run of a server, whatever the list of servers says. It ends with a response without it, if the request of this
 * response was sent after the last response with it. Times are monotonic times of this router.
 */
internal class LeavingServers {
    private val runs = HashMap<ServerRun, Run>()

    /** The last statement of each run, including those that have been taken back. */
    val statements: List<LeavingStatement> get() = runs.values.map { it.statement }

    fun isLeaving(server: BackendServer): Boolean = runs[runOf(server)]?.statement?.isLeaving == true

    /** Applies a response in which [server] says that it leaves; returns the statement if it is news. */
    fun onLeavingResponse(
        server: BackendServer,
        nowMs: Long,
    ): LeavingStatement? {
        val known = runs[runOf(server)]
        if (known?.statement?.isLeaving == true) {
            known.lastSaidAtMs = nowMs
            return null
        }
        return record(LeavingStatement(server.backendServerId, server.vmId, isLeaving = true, asOfMs = nowMs))
    }

    /** Applies a response in which [server] does not say that it leaves; returns a statement if this ends an earlier one. */
    fun onOtherResponse(
        server: BackendServer,
        sentAtMs: Long,
    ): LeavingStatement? {
        val known = runs[runOf(server)] ?: return null
        if (!known.statement.isLeaving || sentAtMs <= known.lastSaidAtMs) return null
        return record(LeavingStatement(server.backendServerId, server.vmId, isLeaving = false, asOfMs = sentAtMs))
    }

    /** Applies what a peer has told; returns it if it is news. */
    fun onPeerStatement(statement: LeavingStatement): LeavingStatement? {
        val known = runs[ServerRun(statement.backendServerId, statement.vmId)]
        if (statement.isLeaving == (known?.statement?.isLeaving ?: false)) return null
        if (known != null && statement.asOfMs <= known.lastSaidAtMs) return null
        return record(statement)
    }

    /** Forgets runs that are not among [listed] and have said nothing for [RETENTION_MS]. */
    fun forgetGone(
        listed: List<BackendServer>,
        nowMs: Long,
    ) {
        if (runs.isEmpty()) return
        val listedRuns = listed.mapTo(HashSet(), ::runOf)
        runs.entries.removeIf { (run, state) -> run !in listedRuns && nowMs - state.lastSaidAtMs > RETENTION_MS }
    }

    private fun record(statement: LeavingStatement): LeavingStatement {
        runs[ServerRun(statement.backendServerId, statement.vmId)] = Run(statement, statement.asOfMs)
        return statement
    }

    private fun runOf(server: BackendServer) = ServerRun(server.backendServerId, server.vmId)

    private data class ServerRun(
        val backendServerId: BackendServerId,
        val vmId: VmId,
    )

    private class Run(
        val statement: LeavingStatement,
        var lastSaidAtMs: Long,
    )

    private companion object {
        private const val RETENTION_MS = 3_600_000L
    }
}
