package org.lycheemount.measure.control

import org.lycheemount.common.TeamId
import org.lycheemount.config.ConfigurationService

/**
 * Observes from when on accepted changes are in force on every router, and whether a router ever goes back.
 * The number that each change writes into its team grows over all changes, so a smaller one later is a reversion.
 *
 * @param changedTeams teams that changes write.
 */
internal class InForceWatch(
    private val routerCount: Int,
    private val serviceOf: (Int) -> ConfigurationService,
    private val changedTeams: List<TeamId>,
) {
    private val pending = mutableListOf<Pending>()
    private val sequences = LongArray(routerCount)
    private val numbers = Array(routerCount) { IntArray(changedTeams.size) }

    /** Times from acceptance until in force on all routers, in milliseconds, in the order of completion. */
    val samplesMs = mutableListOf<Long>()

    /** Times at which a router showed an older state than before. */
    var reversions = 0
        private set

    val pendingChanges: Int get() = pending.size

    fun track(
        sequence: Long,
        fromMs: Long,
    ) {
        pending += Pending(sequence, fromMs, (0 until routerCount).toMutableList())
    }

    /** Measures the changes that are still pending from [nowMs] on. */
    fun countFrom(nowMs: Long) = pending.forEach { it.fromMs = nowMs }

    /** Forgets what [router] showed, because its process was replaced. */
    fun onRestart(router: Int) {
        sequences[router] = 0
        numbers[router].fill(0)
    }

    /** Looks at every router; to be called every few milliseconds. */
    fun look(nowMs: Long) {
        for (router in 0 until routerCount) {
            val sequence = serviceOf(router).replica.sequence
            if (sequence == sequences[router]) continue
            if (sequence < sequences[router]) reversions++
            sequences[router] = sequence
            lookAtTeams(router)
        }
        val iterator = pending.iterator()
        while (iterator.hasNext()) {
            val change = iterator.next()
            change.missing.removeAll { sequences[it] >= change.sequence }
            if (change.missing.isNotEmpty()) continue
            samplesMs += nowMs - change.fromMs
            iterator.remove()
        }
    }

    private fun lookAtTeams(router: Int) {
        val teams = serviceOf(router).current().teams
        changedTeams.forEachIndexed { index, team ->
            val number = teams[team]?.limits?.concurrentRequests ?: 0
            if (number < numbers[router][index]) reversions++
            numbers[router][index] = number
        }
    }

    private class Pending(
        val sequence: Long,
        var fromMs: Long,
        val missing: MutableList<Int>,
    )
}
