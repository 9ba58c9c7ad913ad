package org.lycheemount.scheduling

import java.util.TreeMap
import java.util.TreeSet

private const val BUCKET_MS = 250L

/**
 * Queued requests of one team for one target, ordered by due time.
 *
 * @property servedMs service time charged to the team; the smallest one among waiting teams is served first.
 */
internal class TeamQueue(
    var servedMs: Double,
) {
    private val requests = TreeSet<QueuedRequest>()
    private val workByBucket = TreeMap<Long, Double>()

    val size: Int get() = requests.size

    fun isEmpty(): Boolean = requests.isEmpty()

    fun add(request: QueuedRequest) {
        if (requests.add(request)) workByBucket.merge(bucketOf(request.dueAtMs), request.serviceMs, Double::plus)
    }

    fun remove(request: QueuedRequest): Boolean {
        if (!requests.remove(request)) return false
        val bucket = bucketOf(request.dueAtMs)
        val left = workByBucket.getValue(bucket) - request.serviceMs
        if (left < EMPTY_BUCKET_MS) workByBucket.remove(bucket) else workByBucket[bucket] = left
        return true
    }

    fun headDueAtMs(): Long = requests.first().dueAtMs

    /** Returns the first of the [lookAhead] most urgent requests that [accept] takes. */
    fun firstAccepted(
        lookAhead: Int,
        accept: (QueuedRequest) -> Boolean,
    ): QueuedRequest? {
        var examined = 0
        for (request in requests) {
            if (accept(request)) return request
            examined++
            if (examined >= lookAhead) return null
        }
        return null
    }

    /** Service time of the requests that are due before [dueAtMs], to the accuracy of a bucket. */
    fun workBeforeMs(dueAtMs: Long): Double = workByBucket.headMap(bucketOf(dueAtMs), true).values.sum()

    private fun bucketOf(timeMs: Long) = Math.floorDiv(timeMs, BUCKET_MS)

    private companion object {
        private const val EMPTY_BUCKET_MS = 1e-6
    }
}
