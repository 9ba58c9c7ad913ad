package org.lycheemount.scheduling

import org.lycheemount.common.BackendServerId
import org.lycheemount.config.WorkClass

private const val AFFINITY_REFRESH_MS = 500L
private const val DELAY_TOLERANT_TARGET_MS = 10_000L
private const val CHOICE_SLACK_SHARE = 0.1

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
    private val latestStart: LatestStart,
    val predictedWaitMs: Double,
) : Comparable<QueuedRequest> {
    val dueAtMs: Long get() = latestStart.dueAtMs
    val dropAtMs: Long? get() = latestStart.dropAtMs

    /** Whether the class lets the request wait for long. */
    val isDelayTolerant: Boolean get() = workClass.firstTokenTargetMs >= DELAY_TOLERANT_TARGET_MS

    private var affineServers: Set<BackendServerId> = emptySet()
    private var affineAtMs = Long.MIN_VALUE / 2

    /** Servers that hold most of the prompt's prefix; looked up anew by [find] when the last look is old. */
    fun affineServers(
        nowMs: Long,
        find: () -> Set<BackendServerId>,
    ): Set<BackendServerId> {
        if (nowMs - affineAtMs >= AFFINITY_REFRESH_MS) {
            affineServers = find()
            affineAtMs = nowMs
        }
        return affineServers
    }

    /** Whether the request has used up so little of its slack that it can wait for a better server. */
    fun canChoose(nowMs: Long): Boolean = dueAtMs - nowMs > CHOICE_SLACK_SHARE * (dueAtMs - submittedAtMs)

    fun isPastDeadline(nowMs: Long): Boolean = item.deadlineAtMs?.let { it <= nowMs } ?: false

    override fun compareTo(other: QueuedRequest): Int = compareValuesBy(this, other, QueuedRequest::dueAtMs, QueuedRequest::sequence)
}
