package org.lycheemount.scheduling

private const val INITIAL_LIMIT = 8.0
private const val MIN_LIMIT = 1.0
private const val UNREPORTED_MAX_LIMIT = 1024.0
private const val SHRINK_FACTOR = 0.85
private const val SHRINK_INTERVAL_MS = 500L

// Long prefills of other requests delay a first token by up to a second on an engine with free slots, so only a time that
// endangers the target of the class counts as congestion.
private const val CONGESTED_TARGET_SHARE = 0.8

// A short queue at the server keeps its slots busy between the reports.
private const val TARGET_FILL = 1.05
private const val MIN_WINDOW = 0.5
private const val WINDOW_HEADROOM = 1.0

/**
 * Adaptive bound on the requests of this router on one backend server.
 *
 * While the server reports its load, the window moves by this router's share of the gap between reported load and
 * capacity: routers that see the same free slots share them instead of each filling all of them. Without reports the
 * times to first token drive it.
 */
internal class ConcurrencyLimit {
    private var lastShrinkAtMs = Long.MIN_VALUE / 2
    private var reported = false

    /** Requests of all routers that the server can run at once. */
    var limit: Double = INITIAL_LIMIT
        private set

    /** Requests of this router that the server may have at once. */
    var window: Double = INITIAL_LIMIT
        private set

    /** Takes in a new report. [fleetShare] is this router's share of the load of all servers of the target. */
    fun onReport(
        total: Int,
        own: Int,
        capacity: Int,
        fleetShare: Double,
    ) {
        limit = maxOf(MIN_LIMIT, capacity.toDouble())
        if (!reported) window = limit * fleetShare
        reported = true
        val gap = limit * TARGET_FILL - total
        // Growth by equal shares and shrinkage in proportion let the windows of all routers converge.
        val moved = window + if (gap >= 0) gap * fleetShare else gap * window / maxOf(1, total)
        window = moved.coerceIn(MIN_WINDOW, maxOf(MIN_WINDOW, minOf(limit, own + maxOf(WINDOW_HEADROOM, gap * fleetShare))))
    }

    fun onFirstToken(
        elapsedMs: Long,
        targetMs: Long,
        load: Double,
        nowMs: Long,
    ) {
        if (reported) return
        if (elapsedMs > CONGESTED_TARGET_SHARE * targetMs) {
            shrink(load, nowMs)
        } else if (load >= limit - 1) {
            limit = minOf(UNREPORTED_MAX_LIMIT, limit + 1 / limit)
            window = limit
        }
    }

    fun onRefusedBusy(
        own: Int,
        nowMs: Long,
    ) = shrink(own.toDouble(), nowMs)

    private fun shrink(
        load: Double,
        nowMs: Long,
    ) {
        // The answers of one congested spell count once, since they all saw the same queue.
        if (nowMs - lastShrinkAtMs < SHRINK_INTERVAL_MS) return
        lastShrinkAtMs = nowMs
        window = maxOf(MIN_WINDOW, minOf(window, load) * SHRINK_FACTOR)
        if (!reported) {
            limit = maxOf(MIN_LIMIT, window)
            window = limit
        }
    }
}
