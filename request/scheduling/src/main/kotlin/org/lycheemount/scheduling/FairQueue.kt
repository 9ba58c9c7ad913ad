package org.lycheemount.scheduling

import org.lycheemount.common.TeamId

private const val LOOKAHEAD_REQUESTS = 4

/**
 * Queue of one target: the most urgent request first, among teams that have had no more than their fair share.
 *
 * A team may run ahead of the least served waiting team by [maxLeadMs] of service time. Within that lead the order is
 * by due time alone, so urgency decides in the short run and equal shares in the long run.
 */
internal class FairQueue(
    private val maxLeadMs: () -> Double,
) {
    private val teams = HashMap<TeamId, TeamQueue>()
    private var virtualTimeMs = 0.0

    var size: Int = 0
        private set

    fun sizeOf(teamId: TeamId): Int = teams[teamId]?.size ?: 0

    fun add(request: QueuedRequest) {
        val team = teams.getOrPut(request.item.teamId) { TeamQueue(virtualTimeMs) }
        // An idle team keeps no credit, or it could later push out the others for as long as it was idle.
        if (team.isEmpty()) team.servedMs = maxOf(team.servedMs, virtualTimeMs)
        team.add(request)
        size++
    }

    fun remove(request: QueuedRequest) {
        val team = teams[request.item.teamId] ?: return
        if (team.remove(request)) size--
    }

    /** Removes [request] and charges its service time to its team. */
    fun start(request: QueuedRequest) {
        remove(request)
        teams.getValue(request.item.teamId).servedMs += request.serviceMs
    }

    /** Returns the request to start next among those that [canStart] takes, or null. */
    fun select(canStart: (QueuedRequest) -> Boolean): QueuedRequest? {
        val waiting = teams.values.filterNot { it.isEmpty() }
        if (waiting.isEmpty()) return null
        virtualTimeMs = maxOf(virtualTimeMs, waiting.minOf { it.servedMs })
        val currentMaxLeadMs = maxLeadMs()
        val (withinLead, beyondLead) = waiting.partition { it.servedMs <= virtualTimeMs + currentMaxLeadMs }
        val candidateTeams = withinLead.sortedBy { it.earliestDueAtMs() } + beyondLead.sortedBy { it.servedMs }
        return candidateTeams.firstNotNullOfOrNull { it.firstStartable(LOOKAHEAD_REQUESTS, canStart) }
    }

    /** Service time that is expected to go ahead of a request of [teamId] due at [dueAtMs]. */
    fun workAheadMs(
        teamId: TeamId,
        dueAtMs: Long,
    ): Double {
        val own = teams[teamId]
        val ownAheadMs = own?.workBeforeMs(dueAtMs) ?: 0.0
        val ownServedMs = maxOf(own?.servedMs ?: virtualTimeMs, virtualTimeMs)
        val currentMaxLeadMs = maxLeadMs()
        var aheadMs = ownAheadMs
        for (team in teams.values) {
            if (team === own || team.isEmpty()) continue
            val fairShareMs = maxOf(0.0, ownServedMs + ownAheadMs + currentMaxLeadMs - team.servedMs)
            aheadMs += minOf(team.workBeforeMs(dueAtMs), fairShareMs)
        }
        return aheadMs
    }
}
