package org.lycheemount.scheduling

import org.lycheemount.common.WorkClassId
import org.lycheemount.config.WorkClass

private const val DEFAULT_FIRST_TOKEN_TARGET_MS = 2_000L
private const val DEFAULT_COMPLETION_TARGET_MS = 60_000L

/** Class of requests whose class this router does not know yet. */
internal fun defaultWorkClass(workClassId: WorkClassId): WorkClass =
    WorkClass(workClassId, DEFAULT_FIRST_TOKEN_TARGET_MS, DEFAULT_COMPLETION_TARGET_MS)

/** Latest start of [item] that is expected to meet both targets of its class and its deadline. */
internal fun dueAtMs(
    item: WorkItem,
    workClass: WorkClass,
    estimate: ServiceEstimate,
    firstTokenStretch: Double,
): Long {
    val firstTokenMs = firstTokenStretch * estimate.firstTokenMs
    val serviceMs = firstTokenMs + estimate.decodeMs
    val byTargets = minOf(workClass.firstTokenTargetMs - firstTokenMs, workClass.completionTargetMs - serviceMs)
    val byDeadline = item.deadlineAtMs?.let { it - item.arrivedAtMs - serviceMs } ?: Double.MAX_VALUE
    return item.arrivedAtMs + minOf(byTargets, byDeadline).toLong()
}

/** When [item] becomes dead work in the queue, or null when it never does. */
internal fun dropAtMs(
    item: WorkItem,
    workClass: WorkClass,
    dueAtMs: Long,
): Long? = if (workClass.mustFinish) item.deadlineAtMs else minOf(dueAtMs, item.deadlineAtMs ?: Long.MAX_VALUE)
