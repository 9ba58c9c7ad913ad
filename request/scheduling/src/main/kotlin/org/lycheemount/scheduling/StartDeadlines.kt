package org.lycheemount.scheduling

import org.lycheemount.common.WorkClassId
import org.lycheemount.config.WorkClass

private const val DEFAULT_FIRST_TOKEN_TARGET_MS = 2_000L
private const val DEFAULT_COMPLETION_TARGET_MS = 60_000L
private const val MAX_CONTENDED_SHARE = 0.7

/** Class of requests whose class this router does not know yet. */
internal fun defaultWorkClass(workClassId: WorkClassId): WorkClass =
    WorkClass(workClassId, DEFAULT_FIRST_TOKEN_TARGET_MS, DEFAULT_COMPLETION_TARGET_MS)

/** Latest starts of a request that are expected to meet both targets of its class and its deadline. */
internal class StartDeadlines(
    item: WorkItem,
    workClass: WorkClass,
    estimate: ServiceEstimate,
    firstTokenSlowdown: Double,
) {
    /** Latest start under the present contention; the queue is ordered by it. */
    val dueAtMs: Long

    /** Latest start on a server that gives the request its full speed; later, the request is dead work unless it must finish. */
    val uncontendedDueAtMs: Long

    /** When the request becomes dead work in the queue, or null when it never does. */
    val dropAtMs: Long?

    init {
        // A stretch beyond half of the target would make all work look due at once and leave no order.
        val contendedFirstTokenMs = minOf(firstTokenSlowdown * estimate.firstTokenMs, workClass.firstTokenTargetMs * MAX_CONTENDED_SHARE)
        dueAtMs = latestStartAtMs(item, workClass, maxOf(estimate.firstTokenMs, contendedFirstTokenMs), estimate.decodeMs)
        uncontendedDueAtMs = latestStartAtMs(item, workClass, estimate.firstTokenMs, estimate.decodeMs)
        dropAtMs = if (workClass.mustFinish) item.deadlineAtMs else minOf(dueAtMs, item.deadlineAtMs ?: Long.MAX_VALUE)
    }

    private fun latestStartAtMs(
        item: WorkItem,
        workClass: WorkClass,
        firstTokenMs: Double,
        decodeMs: Double,
    ): Long {
        val byTargets = minOf(workClass.firstTokenTargetMs - firstTokenMs, workClass.completionTargetMs - firstTokenMs - decodeMs)
        val byDeadline = item.deadlineAtMs?.let { it - item.arrivedAtMs - firstTokenMs - decodeMs } ?: Double.MAX_VALUE
        return item.arrivedAtMs + minOf(byTargets, byDeadline).toLong()
    }
}
