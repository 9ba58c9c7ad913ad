package org.lycheemount.scheduling

import org.lycheemount.config.WorkClass

/**
 * A request that waits for a backend server.
 *
 * @property sequence order of submission, which breaks ties.
 * @property serviceMs expected time on a backend server.
 * @property dueAtMs latest start that is expected to meet the targets; the queue is ordered by it.
 * @property dropAtMs start of the time at which the request is dead work; null for work that must finish and has no deadline.
 */
internal class QueuedRequest(
    val item: WorkItem,
    val workClass: WorkClass,
    val sequence: Long,
    val submittedAtMs: Long,
    val serviceMs: Double,
    val dueAtMs: Long,
    val dropAtMs: Long?,
    val predictedWaitMs: Double,
) : Comparable<QueuedRequest> {
    override fun compareTo(other: QueuedRequest): Int = compareValuesBy(this, other, QueuedRequest::dueAtMs, QueuedRequest::sequence)
}
