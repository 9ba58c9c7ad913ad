package org.lycheemount.scheduling

import org.lycheemount.common.SoftwareVersion
import org.lycheemount.common.TeamId

private const val LOOKAHEAD_REQUESTS = 4

/**
 * Fair queue of one target. Selects the earliest due request of the teams that have not exceeded their fair share.
 *
 * A team may be ahead of the least served waiting team by up to [maxLeadMs] of service time. Teams within that lead are
 * ordered by due time alone, so urgency decides in the short term and equal shares in the long term.
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
        // An idle team accumulates no credit. Otherwise it could later block the other teams for as long as it was idle.
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

    /** Returns the next request for which [canStart] holds, or null. */
    fun select(canStart: (QueuedRequest) -> Boolean): QueuedRequest? {
        val waiting = teams.values.filterNot { it.isEmpty() }
        if (waiting.isEmpty()) return null
        virtualTimeMs = maxOf(virtualTimeMs, waiting.minOf { it.servedMs })
        val currentMaxLeadMs = maxLeadMs()
        val (withinLead, beyondLead) = waiting.partition { it.servedMs <= virtualTimeMs + currentMaxLeadMs }
        val candidateTeams = withinLead.sortedBy { it.earliestDueAtMs() } + beyondLead.sortedBy { it.servedMs }
        return candidateTeams.firstNotNullOfOrNull { it.firstStartable(LOOKAHEAD_REQUESTS, canStart) }
    }

    /**
     * Expected service time of the work that starts before a request of [teamId] that is due at [dueAtMs].
     *
     * @param shareOf share of the work with these allowed versions that delays the request.
     */
    fun workAheadMs(
        teamId: TeamId,
        dueAtMs: Long,
        shareOf: (Set<SoftwareVersion>?) -> Double = { 1.0 },
    ): Double {
        val own = teams[teamId]
        val ownAheadMs = own?.workBeforeMs(dueAtMs, shareOf) ?: 0.0
        val ownServedMs = maxOf(own?.servedMs ?: virtualTimeMs, virtualTimeMs)
        val currentMaxLeadMs = maxLeadMs()
        var aheadMs = ownAheadMs
        for (team in teams.values) {
            if (team === own || team.isEmpty()) continue
            val fairShareMs = maxOf(0.0, ownServedMs + ownAheadMs + currentMaxLeadMs - team.servedMs)
            aheadMs += minOf(team.workBeforeMs(dueAtMs, shareOf), fairShareMs)
        }
        return aheadMs
    }
}
