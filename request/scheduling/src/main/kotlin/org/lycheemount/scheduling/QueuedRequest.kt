package org.lycheemount.scheduling

import org.lycheemount.common.BackendServerId
import org.lycheemount.config.WorkClass

private const val AFFINITY_REFRESH_INTERVAL_MS = 500L
private const val DELAY_TOLERANT_TARGET_MS = 10_000L
private const val MIN_SLACK_SHARE = 0.1

/**
 * A request that waits for a backend server.
 *
 * @property sequence order of submission, which breaks ties.
 * @property serviceMs expected time on a backend server.
 * @property predictedWaitMs expected time in the queue when the request was accepted.
 */
internal class QueuedRequest(
    val item: WorkItem,
    val workClass: WorkClass,
    val sequence: Long,
    val submittedAtMs: Long,
    val serviceMs: Double,
    private val startDeadlines: StartDeadlines,
    val predictedWaitMs: Double,
) : Comparable<QueuedRequest> {
    val dueAtMs: Long get() = startDeadlines.dueAtMs
    val dropAtMs: Long? get() = startDeadlines.dropAtMs

    /** Whether the first-token target of the class allows a long wait. */
    val isDelayTolerant: Boolean get() = workClass.firstTokenTargetMs >= DELAY_TOLERANT_TARGET_MS

    private var affinityServers: Set<BackendServerId> = emptySet()
    private var affinityRefreshedAtMs = Long.MIN_VALUE / 2

    /** Servers among [open] that hold most of the cached prefix of the prompt. Cached, and refreshed by [lookUp] when outdated. */
    fun affinityServers(
        open: List<ServerState>,
        nowMs: Long,
        lookUp: () -> Set<BackendServerId>,
    ): Set<BackendServerId> {
        val hasClosed = affinityServers.any { id -> open.none { it.id == id } }
        if (hasClosed || nowMs - affinityRefreshedAtMs >= AFFINITY_REFRESH_INTERVAL_MS) {
            affinityServers = lookUp()
            affinityRefreshedAtMs = nowMs
        }
        return affinityServers
    }

    /** Whether enough slack is left to wait for a server with the cached prefix. */
    fun hasSlackToWait(nowMs: Long): Boolean = dueAtMs - nowMs > MIN_SLACK_SHARE * (dueAtMs - submittedAtMs)

    fun isPastDeadline(nowMs: Long): Boolean = item.deadlineAtMs?.let { it <= nowMs } ?: false

    override fun compareTo(other: QueuedRequest): Int = compareValuesBy(this, other, QueuedRequest::dueAtMs, QueuedRequest::sequence)
}
