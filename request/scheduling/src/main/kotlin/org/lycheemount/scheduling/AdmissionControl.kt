package org.lycheemount.scheduling

import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.config.WorkClass
import kotlin.random.Random

private const val QUEUE_CAPACITY = 4_096
private const val MIN_RETRY_MS = 200L
private const val MAX_RETRY_MS = 30_000L
private const val RETRY_JITTER = 0.5
private const val NO_SERVER_RETRY_MS = 1_000L

/** Decides whether a request may enter the queue. */
internal class AdmissionControl(
    private val random: Random,
) {
    /** Returns the reason to refuse [item] at once, or null. */
    fun refusal(
        item: WorkItem,
        workClass: WorkClass,
        lane: TargetQueue,
        waitMs: Double,
        hopelessAtMs: Long,
        nowMs: Long,
    ): Refusal? {
        if (item.deadlineAtMs != null && item.deadlineAtMs <= nowMs) {
            return Refusal(RefusalReason.DEADLINE_PAST, "the deadline has passed")
        }
        val teamLimit = maxOf(1, (item.queueShare * QUEUE_CAPACITY).toInt())
        if (lane.queue.sizeOf(item.teamId) >= teamLimit || lane.queue.size >= QUEUE_CAPACITY) {
            return Refusal(RefusalReason.QUEUE_SHARE_EXCEEDED, "the team has $teamLimit requests queued", retryAfterMs(waitMs))
        }
        if (workClass.mustFinish && item.deadlineAtMs == null) return null
        if (waitMs <= 0.0 || nowMs + waitMs <= hopelessAtMs) return null
        val excessMs = waitMs - (hopelessAtMs - nowMs)
        return Refusal(
            RefusalReason.TARGET_UNREACHABLE,
            "the expected wait of ${waitText(waitMs)} misses the target",
            retryAfterMs(excessMs),
        )
    }

    fun noServer(): Refusal = Refusal(RefusalReason.NO_BACKEND_SERVER, "no backend server is live", jittered(NO_SERVER_RETRY_MS))

    fun expired(): Refusal =
        Refusal(RefusalReason.TARGET_UNREACHABLE, "the request waited too long to meet its target", jittered(MIN_RETRY_MS))

    private fun retryAfterMs(excessMs: Double) = jittered(excessMs.coerceIn(MIN_RETRY_MS.toDouble(), MAX_RETRY_MS.toDouble()).toLong())

    /** Spreads the retries of callers that were refused together. */
    private fun jittered(delayMs: Long) = (delayMs * (1 + RETRY_JITTER * random.nextDouble())).toLong()

    private fun waitText(waitMs: Double) = if (waitMs >= Double.MAX_VALUE) "unknown length" else "${waitMs.toLong()} ms"
}
