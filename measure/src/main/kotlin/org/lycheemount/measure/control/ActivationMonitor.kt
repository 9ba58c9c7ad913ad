package org.lycheemount.measure.control

import org.lycheemount.common.TeamId
import org.lycheemount.config.ConfigurationService

/**
 * Measures when accepted changes become active on every router and counts reversions to an older configuration.
 * Each change writes a number into its team that grows over all changes, so a router that later shows a smaller one has reverted.
 *
 * @param serviceOfRouter returns the current service of the router with the given index.
 * @param changedTeams teams that the changes modify.
 */
internal class ActivationMonitor(
    private val routerCount: Int,
    private val serviceOfRouter: (Int) -> ConfigurationService,
    private val changedTeams: List<TeamId>,
) {
    private val pending = mutableListOf<PendingChange>()
    private val sequences = LongArray(routerCount)
    private val changeNumbers = Array(routerCount) { IntArray(changedTeams.size) }

    /** Times from acceptance until active on all routers, in milliseconds, in the order of completion. */
    val durationsMs = mutableListOf<Long>()

    /** Number of times that a router showed an older configuration than before. */
    var reversions = 0
        private set

    val pendingChanges: Int get() = pending.size

    /** Measures the change with [sequence], which was accepted at [startMs]. */
    fun track(
        sequence: Long,
        startMs: Long,
    ) {
        pending += PendingChange(sequence, startMs, (0 until routerCount).toMutableList())
    }

    /** Measures the pending changes from [nowMs] instead of from their acceptance. */
    fun resetStartTimes(nowMs: Long) = pending.forEach { it.startMs = nowMs }

    /** Clears the recorded state of [router], because a new process starts without a configuration. */
    fun onRestart(router: Int) {
        sequences[router] = 0
        changeNumbers[router].fill(0)
    }

    /** Samples the configuration of every router; the call interval is the resolution of [durationsMs]. */
    fun sample(nowMs: Long) {
        for (router in 0 until routerCount) {
            val sequence = serviceOfRouter(router).replica.sequence
            if (sequence == sequences[router]) continue
            if (sequence < sequences[router]) reversions++
            sequences[router] = sequence
            sampleTeams(router)
        }
        val iterator = pending.iterator()
        while (iterator.hasNext()) {
            val change = iterator.next()
            change.remainingRouters.removeAll { sequences[it] >= change.sequence }
            if (change.remainingRouters.isNotEmpty()) continue
            durationsMs += nowMs - change.startMs
            iterator.remove()
        }
    }

    private fun sampleTeams(router: Int) {
        val teams = serviceOfRouter(router).current().teams
        changedTeams.forEachIndexed { index, team ->
            val number = teams[team]?.limits?.concurrentRequests ?: 0
            if (number < changeNumbers[router][index]) reversions++
            changeNumbers[router][index] = number
        }
    }

    private class PendingChange(
        val sequence: Long,
        var startMs: Long,
        val remainingRouters: MutableList<Int>,
    )
}
