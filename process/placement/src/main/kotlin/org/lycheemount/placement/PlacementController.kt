package org.lycheemount.placement

import org.lycheemount.common.BackendServerId
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.ZoneId
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.WeightLoadPermit
import org.lycheemount.platform.WeightStore

private const val MAX_COMMANDS_PER_ROUND = 8

// An accepted load that has not completed by then is planned again, because the engine may have restarted.
private const val LOAD_TIMEOUT_MS = 60_000L
private const val WEIGHT_STORE_RETRY_MS = 5_000L

/** Outcome of one reconciliation round. */
enum class ReconcileOutcome {
    /** Another router holds the lease, or the table is unavailable. The engines keep serving the models they have loaded. */
    NOT_HOLDER,

    /** The zone matches the goal, or loads are in progress. */
    SETTLED,

    /** The next round has to continue. */
    UNFINISHED,
}

/** Reconciles one model in one zone with its goal while this router holds the lease. Not thread-safe. */
internal class PlacementController(
    private val zoneId: ZoneId,
    private val lease: PlacementLease,
    private val fleet: EngineFleet,
    private val weightStore: WeightStore,
    private val clock: Clock,
    private val eventLog: EventLog,
) {
    private val planner = PlacementPlanner()
    private val loadStartedAtMs = HashMap<BackendServerId, Long>()
    private var nextLoadAllowedAtMs = Long.MIN_VALUE

    /** Runs one round: observes the engines and sends the next command, until the goal is met, a limit applies or the lease is lost. */
    suspend fun reconcile(goal: PlacementGoal): ReconcileOutcome {
        if (!lease.acquire()) return ReconcileOutcome.NOT_HOLDER
        repeat(MAX_COMMANDS_PER_ROUND) {
            val engines = fleet.observe(zoneId)
            removeFinishedLoads(goal, engines)
            val command = planner.next(goal, engines, loadStartedAtMs.keys) ?: return ReconcileOutcome.SETTLED
            if (command is PlacementCommand.Load && !requestLoadPermit(command)) return ReconcileOutcome.UNFINISHED
            val token = lease.heldToken() ?: return ReconcileOutcome.NOT_HOLDER
            if (!send(command, token)) return ReconcileOutcome.NOT_HOLDER
        }
        return ReconcileOutcome.UNFINISHED
    }

    private suspend fun send(
        command: PlacementCommand,
        token: Long,
    ): Boolean {
        val result = fleet.send(command, token)
        eventLog.info(
            "placement_command",
            "command" to command::class.simpleName,
            "modelId" to command.modelId.value,
            "backendServerId" to command.backendServerId.value,
            "fencingToken" to token,
            "result" to result::class.simpleName,
        )
        if (result == CommandResult.StaleToken) {
            lease.invalidate()
            return false
        }
        if (command is PlacementCommand.Load) loadStartedAtMs[command.backendServerId] = clock.monotonicMs()
        return true
    }

    private suspend fun requestLoadPermit(command: PlacementCommand.Load): Boolean {
        val nowMs = clock.monotonicMs()
        if (nowMs < nextLoadAllowedAtMs) return false
        val response = weightStore.requestLoad(command.modelId, command.version)
        val waitMs =
            when (response) {
                is TableResult.Answered ->
                    when (val permit = response.value) {
                        WeightLoadPermit.Granted -> return true
                        is WeightLoadPermit.RateLimited -> permit.retryAfterMs
                    }
                is TableResult.Unavailable, is TableResult.Unknown -> WEIGHT_STORE_RETRY_MS
            }
        nextLoadAllowedAtMs = nowMs + waitMs
        return false
    }

    private fun removeFinishedLoads(
        goal: PlacementGoal,
        engines: List<ObservedEngine>,
    ) {
        val nowMs = clock.monotonicMs()
        val byId = engines.associateBy { it.backendServerId }
        loadStartedAtMs.entries.removeIf { (id, startedAtMs) ->
            val engine = byId[id]
            nowMs - startedAtMs > LOAD_TIMEOUT_MS || (engine != null && matchesGoal(engine, goal))
        }
    }

    private fun matchesGoal(
        engine: ObservedEngine,
        goal: PlacementGoal,
    ) = engine.loadedModels[goal.modelId] == goal.version && engine.loadedAdapters[goal.modelId].orEmpty().containsAll(goal.adapters)
}
