package org.lycheemount.scheduling

private const val INITIAL_LIMIT = 8.0
private const val MIN_LIMIT = 1.0
private const val UNREPORTED_MAX_LIMIT = 1024.0
private const val SHRINK_FACTOR = 0.85
private const val SHRINK_INTERVAL_MS = 500L

// Prefills of other requests delay a first token by a few times its own prefill on a busy but not overloaded engine.
private const val CONGESTED_FACTOR = 4.0
private const val CONGESTED_MARGIN_MS = 200.0

/** Adaptive bound on the requests that one backend server has at once, by the time to first token that it achieves. */
internal class ConcurrencyLimit {
    private var maxLimit = UNREPORTED_MAX_LIMIT
    private var lastShrinkAtMs = Long.MIN_VALUE / 2
    private var reported = false

    var limit: Double = INITIAL_LIMIT
        private set

    /** Takes the server's own statement of how much it can run at once as an upper bound. */
    fun onCapacity(capacity: Int) {
        val previous = maxLimit
        maxLimit = maxOf(MIN_LIMIT, capacity.toDouble())
        if (!reported || maxLimit > previous) limit = maxLimit
        reported = true
        limit = minOf(limit, maxLimit)
    }

    fun onFirstToken(
        elapsedMs: Long,
        expectedMs: Double,
        load: Double,
        nowMs: Long,
    ) {
        if (elapsedMs > CONGESTED_FACTOR * expectedMs + CONGESTED_MARGIN_MS) {
            shrink(load, nowMs)
        } else if (load >= limit - 1) {
            limit = minOf(maxLimit, limit + 1 / limit)
        }
    }

    fun onRefusedBusy(
        load: Double,
        nowMs: Long,
    ) = shrink(load, nowMs)

    private fun shrink(
        load: Double,
        nowMs: Long,
    ) {
        // The answers of one congested spell count once, since they all saw the same queue.
        if (nowMs - lastShrinkAtMs < SHRINK_INTERVAL_MS) return
        lastShrinkAtMs = nowMs
        limit = maxOf(MIN_LIMIT, minOf(limit, load) * SHRINK_FACTOR)
    }
}
