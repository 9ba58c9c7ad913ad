package org.lycheemount.measure.control

import org.lycheemount.common.TeamId
import org.lycheemount.config.ConfigurationService

/**
 * Observes from when on accepted changes are in force on every router, and whether a router ever goes back.
 * The number that each change writes into its team grows over all changes, so a smaller one later is a reversion.
 *
 * @param changedTeams teams that changes write.
 */
internal class ActivationMonitor(
    private val routerCount: Int,
    private val serviceOfRouter: (Int) -> ConfigurationService,
    private val changedTeams: List<TeamId>,
) {
    private val pending = mutableListOf<PendingChange>()
    private val sequences = LongArray(routerCount)
    private val changeNumbers = Array(routerCount) { IntArray(changedTeams.size) }

    /** Times from acceptance until in force on all routers, in milliseconds, in the order of completion. */
    val durationsMs = mutableListOf<Long>()

    /** Times at which a router showed an older state than before. */
    var reversions = 0
        private set

    val pendingChanges: Int get() = pending.size

    fun track(
        sequence: Long,
        startMs: Long,
    ) {
        pending += PendingChange(sequence, startMs, (0 until routerCount).toMutableList())
    }

    /** Measures the changes that are still pending from [nowMs] on. */
    fun resetStartTimes(nowMs: Long) = pending.forEach { it.startMs = nowMs }

    /** Forgets what [router] showed, because its process was replaced. */
    fun onRestart(router: Int) {
        sequences[router] = 0
        changeNumbers[router].fill(0)
    }

    /** Looks at every router; to be called every few milliseconds. */
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
