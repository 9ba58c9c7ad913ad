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
    /** Returns the refusal of [item], or null when it may enter the queue. [waitMs] is its expected queueing time. */
    fun refusalFor(
        item: WorkItem,
        workClass: WorkClass,
        targetQueue: TargetQueue,
        waitMs: Double,
        latestStartAtMs: Long,
        nowMs: Long,
    ): Refusal? {
        if (item.deadlineAtMs != null && item.deadlineAtMs <= nowMs) {
            return Refusal(RefusalReason.DEADLINE_PAST, "the deadline has passed")
        }
        val teamLimit = maxOf(1, (item.queueShare * QUEUE_CAPACITY).toInt())
        if (targetQueue.fairQueue.sizeOf(item.teamId) >= teamLimit || targetQueue.fairQueue.size >= QUEUE_CAPACITY) {
            return Refusal(
                RefusalReason.QUEUE_SHARE_EXCEEDED,
                "the queue is full or the team has reached its limit of $teamLimit queued requests",
                retryAfterMs(waitMs),
            )
        }
        if (workClass.mustFinish && item.deadlineAtMs == null) return null
        if (waitMs <= 0.0 || nowMs + waitMs <= latestStartAtMs) return null
        val excessMs = waitMs - (latestStartAtMs - nowMs)
        return Refusal(
            RefusalReason.TARGET_UNREACHABLE,
            "the expected queueing time of ${waitText(waitMs)} exceeds the latency target",
            retryAfterMs(excessMs),
        )
    }

    /** Returns the refusal of [item] if none of the [servers] may run it. */
    fun noServerRefusal(
        item: WorkItem,
        servers: Collection<ServerState>,
        nowMs: Long,
    ): Refusal {
        if (servers.any { item.allows(it.server) && it.isClosedByEvacuation(nowMs) }) {
            val evacuated = "all backend servers that could run the request are in evacuated zones"
            return Refusal(RefusalReason.ZONES_EVACUATED, evacuated, jittered(NO_SERVER_RETRY_MS))
        }
        val versions = item.allowedVersions?.joinToString { it.value }
        val detail = if (versions == null) "no backend server is live" else "no backend server of software version $versions is live"
        return Refusal(RefusalReason.NO_BACKEND_SERVER, detail, jittered(NO_SERVER_RETRY_MS))
    }

    /** Returns the refusal of a request whose time in the queue is over. */
    fun expiredRefusal(isPastDeadline: Boolean): Refusal =
        if (isPastDeadline) {
            Refusal(RefusalReason.DEADLINE_PAST, "the deadline passed while the request was queued")
        } else {
            val detail = "the request was queued for too long to meet its latency target"
            Refusal(RefusalReason.TARGET_UNREACHABLE, detail, jittered(MIN_RETRY_MS))
        }

    private fun retryAfterMs(excessMs: Double) = jittered(excessMs.coerceIn(MIN_RETRY_MS.toDouble(), MAX_RETRY_MS.toDouble()).toLong())

    /** Adds jitter, so that callers that were refused together do not retry together. */
    private fun jittered(delayMs: Long) = (delayMs * (1 + RETRY_JITTER * random.nextDouble())).toLong()

    private fun waitText(waitMs: Double) = if (waitMs >= Double.MAX_VALUE) "unknown length" else "${waitMs.toLong()} ms"
}
