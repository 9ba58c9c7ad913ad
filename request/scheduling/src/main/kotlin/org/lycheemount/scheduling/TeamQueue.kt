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

    val size: Int get() = queuesByVersions.values.sumOf { it.size }

    fun isEmpty(): Boolean = queuesByVersions.isEmpty()

    fun add(request: QueuedRequest) = queuesByVersions.getOrPut(request.item.allowedVersions) { DueTimeQueue() }.add(request)

    fun remove(request: QueuedRequest): Boolean {
        val queue = queuesByVersions[request.item.allowedVersions] ?: return false
        if (!queue.remove(request)) return false
        if (queue.isEmpty()) queuesByVersions.remove(request.item.allowedVersions)
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

    /** Keeps the requests that are due in the same period together, so that the work before a time is summed by periods. */
    private class DueTimeQueue {
        private val buckets = TreeMap<Long, Bucket>()

        /** All requests in the order of their due times. */
        val requests: Sequence<QueuedRequest> get() = buckets.values.asSequence().flatMap { it.requests }

        val size: Int get() = buckets.values.sumOf { it.requests.size }

        fun isEmpty(): Boolean = buckets.isEmpty()

        fun add(request: QueuedRequest) = buckets.getOrPut(bucketOf(request.dueAtMs)) { Bucket() }.add(request)

        fun remove(request: QueuedRequest): Boolean {
            val bucketIndex = bucketOf(request.dueAtMs)
            val bucket = buckets[bucketIndex] ?: return false
            if (!bucket.remove(request)) return false
            if (bucket.requests.isEmpty()) buckets.remove(bucketIndex)
            return true
        }

        fun workBeforeMs(dueAtMs: Long): Double = buckets.headMap(bucketOf(dueAtMs), true).values.sumOf { it.serviceMs }

        private fun bucketOf(timeMs: Long) = Math.floorDiv(timeMs, BUCKET_MS)
    }

    /** Requests that are due in one period; [serviceMs] is the sum of their service times, which may be 0. */
    private class Bucket {
        val requests = TreeSet<QueuedRequest>()
        var serviceMs = 0.0
            private set

        fun add(request: QueuedRequest) {
            if (requests.add(request)) serviceMs += request.serviceMs
        }

        fun remove(request: QueuedRequest): Boolean {
            if (!requests.remove(request)) return false
            // Differences of rounded sums may fall below 0.
            serviceMs = maxOf(0.0, serviceMs - request.serviceMs)
            return true
        }
    }
}
