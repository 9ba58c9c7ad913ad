package org.lycheemount.scheduling

import org.lycheemount.config.WorkClass

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

    fun isPastDeadline(nowMs: Long): Boolean = item.deadlineAtMs?.let { it <= nowMs } ?: false

    override fun compareTo(other: QueuedRequest): Int = compareValuesBy(this, other, QueuedRequest::dueAtMs, QueuedRequest::sequence)
}
