package org.lycheemount.placement

import org.lycheemount.common.BackendServerId
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.ZoneId
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.WeightLoadPermit
import org.lycheemount.platform.WeightStore

private const val MAX_COMMANDS_PER_ROUND = 8

// An accepted load that does not show by then is planned again: the engine may have restarted.
private const val LOAD_TIMEOUT_MS = 60_000L
private const val WEIGHT_STORE_RETRY_MS = 5_000L

/** What one round of reconciliation ended with. */
enum class RoundOutcome {
    /** Another router holds the lease, or the table does not answer; the engines serve on with what they have loaded. */
    NOT_HOLDER,

    /** The zone is as desired, or waits for loads in progress. */
    SETTLED,

    /** More is to be done in the next round. */
    UNFINISHED,
}

/** Brings one model in one zone to its goal while this router holds the lease. Not thread-safe. */
internal class PlacementController(
    private val zoneId: ZoneId,
    private val lease: PlacementLease,
    private val fleet: EngineFleet,
    private val weightStore: WeightStore,
    private val clock: Clock,
    private val eventLog: EventLog,
) {
    private val planner = PlacementPlanner()
    private val loadingSinceMs = HashMap<BackendServerId, Long>()
    private var loadsAllowedAtMs = Long.MIN_VALUE

    /** Observes, sends the next command, and observes again, until nothing is left to do or the lease is lost. */
    suspend fun runRound(goal: PlacementGoal): RoundOutcome {
        if (!lease.acquire()) return RoundOutcome.NOT_HOLDER
        repeat(MAX_COMMANDS_PER_ROUND) {
            val engines = fleet.observe(zoneId)
            forgetFinishedLoads(goal, engines)
            val command = planner.next(goal, engines, loadingSinceMs.keys) ?: return RoundOutcome.SETTLED
            if (command is PlacementCommand.Load && !mayLoad(command)) return RoundOutcome.UNFINISHED
            val token = lease.heldToken() ?: return RoundOutcome.NOT_HOLDER
            if (!send(command, token)) return RoundOutcome.NOT_HOLDER
        }
        return RoundOutcome.UNFINISHED
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
            lease.drop()
            return false
        }
        if (command is PlacementCommand.Load) loadingSinceMs[command.backendServerId] = clock.monotonicMs()
        return true
    }

    private suspend fun mayLoad(command: PlacementCommand.Load): Boolean {
        val nowMs = clock.monotonicMs()
        if (nowMs < loadsAllowedAtMs) return false
        val permit = weightStore.requestLoad(command.modelId, command.version)
        val waitMs =
            when (permit) {
                is TableResult.Answered ->
                    when (val answer = permit.value) {
                        WeightLoadPermit.Granted -> return true
                        is WeightLoadPermit.RateLimited -> answer.retryAfterMs
                    }
                is TableResult.Unavailable, is TableResult.Unknown -> WEIGHT_STORE_RETRY_MS
            }
        loadsAllowedAtMs = nowMs + waitMs
        return false
    }

    private fun forgetFinishedLoads(
        goal: PlacementGoal,
        engines: List<ObservedEngine>,
    ) {
        val nowMs = clock.monotonicMs()
        val byId = engines.associateBy { it.backendServerId }
        loadingSinceMs.entries.removeIf { (id, since) ->
            val engine = byId[id]
            nowMs - since > LOAD_TIMEOUT_MS || (engine != null && isComplete(engine, goal))
        }
    }

    private fun isComplete(
        engine: ObservedEngine,
        goal: PlacementGoal,
    ) = engine.loadedModels[goal.modelId] == goal.version && engine.loadedAdapters[goal.modelId].orEmpty().containsAll(goal.adapters)
}
