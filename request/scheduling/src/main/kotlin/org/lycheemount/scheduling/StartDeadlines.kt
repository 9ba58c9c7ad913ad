package org.lycheemount.scheduling

import org.lycheemount.common.WorkClassId
import org.lycheemount.config.WorkClass

private const val DEFAULT_FIRST_TOKEN_TARGET_MS = 2_000L
private const val DEFAULT_COMPLETION_TARGET_MS = 60_000L
private const val MAX_CONTENDED_SHARE = 0.7

/** Default targets for a work class that is not configured on this router yet. */
internal fun defaultWorkClass(workClassId: WorkClassId): WorkClass =
    WorkClass(workClassId, DEFAULT_FIRST_TOKEN_TARGET_MS, DEFAULT_COMPLETION_TARGET_MS)

/** Latest start times at which a request is expected to meet the targets of its class and its own deadline. */
internal class StartDeadlines(
    item: WorkItem,
    workClass: WorkClass,
    estimate: ServiceEstimate,
    firstTokenSlowdown: Double,
) {
    /** Latest start under the current contention. The queue is ordered by it. */
    val dueAtMs: Long

    /** Latest start on a server without contention. */
    val uncontendedDueAtMs: Long

    /** When the request is dropped from the queue because it cannot meet its targets; null when it must finish and has no deadline. */
    val dropAtMs: Long?

    init {
        // Without this bound, high contention would make all requests due at once and leave no order.
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
