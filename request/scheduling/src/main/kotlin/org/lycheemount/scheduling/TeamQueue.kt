package org.lycheemount.scheduling

import java.util.TreeMap
import java.util.TreeSet

private const val BUCKET_MS = 250L

/**
 * Queued requests of one team for one target, ordered by due time.
 *
 * @property servedMs service time charged to the team; a team with less is preferred beyond the lead of the fair queue.
 */
internal class TeamQueue(
    var servedMs: Double,
) {
    private val requests = TreeSet<QueuedRequest>()
    private val serviceMsByBucket = TreeMap<Long, Double>()

    val size: Int get() = requests.size

    fun isEmpty(): Boolean = requests.isEmpty()

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

    fun earliestDueAtMs(): Long = requests.first().dueAtMs

    /** Returns the first of the [lookaheadRequests] most urgent requests for which [canStart] holds, or null. */
    fun firstStartable(
        lookaheadRequests: Int,
        canStart: (QueuedRequest) -> Boolean,
    ): QueuedRequest? {
        var examined = 0
        for (request in requests) {
            if (canStart(request)) return request
            examined++
            if (examined >= lookaheadRequests) return null
        }
        return null
    }

    /** Service time of the requests that are due before [dueAtMs], rounded up to whole buckets. */
    fun workBeforeMs(dueAtMs: Long): Double = serviceMsByBucket.headMap(bucketOf(dueAtMs), true).values.sum()

    private fun bucketOf(timeMs: Long) = Math.floorDiv(timeMs, BUCKET_MS)

    private companion object {
        private const val EMPTY_BUCKET_MS = 1e-6
    }
}
