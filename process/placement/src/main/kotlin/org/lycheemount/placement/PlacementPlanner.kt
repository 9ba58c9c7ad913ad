package org.lycheemount.placement

import org.lycheemount.common.BackendServerId

/**
 * Compares the observed engines of a zone with the goal for one model and plans the next command. Pure.
 *
 * Plans one command at a time. The caller observes the engines after each command, so a command that an engine ignored or
 * another controller reverted is planned again.
 */
internal class PlacementPlanner {
    /**
     * Returns the next command, or null when the zone matches the goal.
     *
     * @param loading engines that have accepted a load of the model but do not report it yet.
     */
    fun next(
        goal: PlacementGoal,
        engines: List<ObservedEngine>,
        loading: Set<BackendServerId>,
    ): PlacementCommand? {
        val usable = engines.filterNot { it.leaving }.sortedBy { it.backendServerId.value }
        val current = usable.filter { it.loadedModels[goal.modelId] == goal.version }
        val outdated = usable.filter { it.loadedModels[goal.modelId].let { version -> version != null && version != goal.version } }
        val updatable = outdated.filterNot { it.backendServerId in loading }
        return firstOf(
            { updateOutdated(goal, current, updatable, loading) },
            {
                addCopy(
                    goal,
                    usable.filterNot { it.backendServerId in loading },
                    current.size + outdated.size + countLoadingNewCopies(usable, goal, loading),
                )
            },
            { loadAdapter(goal, current, loading) },
            { removeCopy(goal, current, updatable) },
        )
    }

    private inline fun firstOf(vararg steps: () -> PlacementCommand?): PlacementCommand? = steps.firstNotNullOfOrNull { it() }

    /** Replaces one outdated copy at a time. Other copies keep serving; a single copy serves until its load is complete. */
    private fun updateOutdated(
        goal: PlacementGoal,
        current: List<ObservedEngine>,
        outdated: List<ObservedEngine>,
        loading: Set<BackendServerId>,
    ): PlacementCommand? {
        if (goal.copies <= current.size || loading.isNotEmpty()) return null
        val engine = outdated.firstOrNull() ?: return null
        return PlacementCommand.Load(engine.backendServerId, goal.modelId, goal.version)
    }

    private fun addCopy(
        goal: PlacementGoal,
        notLoading: List<ObservedEngine>,
        copies: Int,
    ): PlacementCommand? {
        if (copies >= goal.copies) return null
        val withFreeSlot = notLoading.filter { goal.modelId !in it.loadedModels && it.loadedModels.size < it.modelSlots }
        val engine = withFreeSlot.minByOrNull { it.loadedModels.size } ?: return null
        return PlacementCommand.Load(engine.backendServerId, goal.modelId, goal.version)
    }

    private fun loadAdapter(
        goal: PlacementGoal,
        current: List<ObservedEngine>,
        loading: Set<BackendServerId>,
    ): PlacementCommand? {
        for (engine in current.filterNot { it.backendServerId in loading }) {
            val missing = goal.adapters - engine.loadedAdapters[goal.modelId].orEmpty()
            val adapter = missing.minOrNull() ?: continue
            return PlacementCommand.Load(engine.backendServerId, goal.modelId, goal.version, adapter)
        }
        return null
    }

    /** Removes a copy only if enough current copies are observed, so the last copy of a needed model always stays. */
    private fun removeCopy(
        goal: PlacementGoal,
        current: List<ObservedEngine>,
        outdated: List<ObservedEngine>,
    ): PlacementCommand? {
        if (current.size < goal.copies) return null
        val surplus = outdated.firstOrNull() ?: current.takeIf { it.size > goal.copies }?.last() ?: return null
        return PlacementCommand.Unload(surplus.backendServerId, goal.modelId, surplus.loadedModels.getValue(goal.modelId))
    }

    private fun countLoadingNewCopies(
        usable: List<ObservedEngine>,
        goal: PlacementGoal,
        loading: Set<BackendServerId>,
    ) = usable.count { it.backendServerId in loading && goal.modelId !in it.loadedModels }
}
