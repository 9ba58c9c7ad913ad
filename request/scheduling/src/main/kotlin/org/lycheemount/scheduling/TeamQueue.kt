package org.lycheemount.scheduling

import org.lycheemount.common.SoftwareVersion
import java.util.TreeMap
import java.util.TreeSet

private const val BUCKET_MS = 250L

/**
 * Queued requests of one team for one target, ordered by due time.
 *
 * Requests that allow the same versions are kept together, so that those which wait for the few servers of one version do not hold up
 * the others.
 *
 * @property servedMs service time charged to the team; a team with less is preferred beyond the lead of the fair queue.
 */
internal class TeamQueue(
    var servedMs: Double,
) {
    private val queuesByVersions = LinkedHashMap<Set<SoftwareVersion>?, DueTimeQueue>()

    val size: Int get() = queuesByVersions.values.sumOf { it.requests.size }

    fun isEmpty(): Boolean = queuesByVersions.isEmpty()

    fun add(request: QueuedRequest) = queuesByVersions.getOrPut(request.item.allowedVersions) { DueTimeQueue() }.add(request)

    fun remove(request: QueuedRequest): Boolean {
        val queue = queuesByVersions[request.item.allowedVersions] ?: return false
        if (!queue.remove(request)) return false
        if (queue.requests.isEmpty()) queuesByVersions.remove(request.item.allowedVersions)
        return true
    }

    fun earliestDueAtMs(): Long = queuesByVersions.values.minOf { it.requests.first().dueAtMs }

    /**
     * Returns the most urgent request for which [canStart] holds, or null. Of the requests that allow the same versions, only the
     * [lookaheadRequests] most urgent ones are considered.
     */
    fun firstStartable(
        lookaheadRequests: Int,
        canStart: (QueuedRequest) -> Boolean,
    ): QueuedRequest? =
        queuesByVersions.values
            .mapNotNull {
                it.requests
                    .asSequence()
                    .take(lookaheadRequests)
                    .firstOrNull(canStart)
            }.minOrNull()

    /**
     * Service time of the requests that are due before [dueAtMs], rounded up to whole buckets.
     *
     * @param shareOf share to count of the requests that allow these versions.
     */
    fun workBeforeMs(
        dueAtMs: Long,
        shareOf: (Set<SoftwareVersion>?) -> Double,
    ): Double = queuesByVersions.entries.sumOf { (versions, queue) -> shareOf(versions) * queue.workBeforeMs(dueAtMs) }

    private class DueTimeQueue {
        val requests = TreeSet<QueuedRequest>()
        private val serviceMsByBucket = TreeMap<Long, Double>()

        fun add(request: QueuedRequest) {
            if (requests.add(request)) serviceMsByBucket.merge(bucketOf(request.dueAtMs), request.serviceMs, Double::plus)
        }

        fun remove(request: QueuedRequest): Boolean {
            if (!requests.remove(request)) return false
            val bucket = bucketOf(request.dueAtMs)
            val remainingMs = serviceMsByBucket.getValue(bucket) - request.serviceMs
            if (remainingMs < EMPTY_BUCKET_MS) serviceMsByBucket.remove(bucket) else serviceMsByBucket[bucket] = remainingMs
            return true
        }

        fun workBeforeMs(dueAtMs: Long): Double = serviceMsByBucket.headMap(bucketOf(dueAtMs), true).values.sum()

        private fun bucketOf(timeMs: Long) = Math.floorDiv(timeMs, BUCKET_MS)
    }

    private companion object {
        private const val EMPTY_BUCKET_MS = 1e-6
    }
}
