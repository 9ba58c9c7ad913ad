package org.lycheemount.scheduling

private const val INITIAL_CAPACITY_REQUESTS = 8.0
private const val MIN_CAPACITY_REQUESTS = 1.0
private const val MAX_UNREPORTED_CAPACITY_REQUESTS = 1024.0
private const val SHRINK_FACTOR = 0.85
private const val SHRINK_INTERVAL_MS = 500L

// Long prefills of other requests delay a first token by up to a second on an engine with free slots, so only a time that
// endangers the target of the class counts as congestion.
private const val CONGESTED_TARGET_SHARE = 0.8

// A short queue at the server keeps its slots busy between the reports.
private const val TARGET_UTILIZATION = 1.05
private const val MIN_WINDOW_REQUESTS = 0.5
private const val MIN_WINDOW_HEADROOM_REQUESTS = 1.0

/**
 * Adaptive bound on the requests of this router on one backend server.
 *
 * While the server reports its load, the window moves by this router's share of the gap between reported load and
 * capacity: routers that see the same free slots share them instead of each filling all of them. Without reports the
 * times to first token drive it.
 */
internal class ConcurrencyLimit {
    private var lastShrinkAtMs = Long.MIN_VALUE / 2
    private var hasReport = false

    /** Requests of all routers that the server can run at once. */
    var capacityRequests: Double = INITIAL_CAPACITY_REQUESTS
        private set

    /** Requests of this router that the server may have at once. */
    var windowRequests: Double = INITIAL_CAPACITY_REQUESTS
        private set

    /** Takes in a new report. [fleetShare] is this router's share of the load of all servers of the target. */
    fun onReport(
        totalRequests: Int,
        ownRequests: Int,
        capacity: Int,
        fleetShare: Double,
    ) {
        capacityRequests = maxOf(MIN_CAPACITY_REQUESTS, capacity.toDouble())
        if (!hasReport) windowRequests = capacityRequests * fleetShare
        hasReport = true
        val headroomRequests = capacityRequests * TARGET_UTILIZATION - totalRequests
        // Growth by equal shares and shrinkage in proportion let the windows of all routers converge.
        val changeRequests =
            if (headroomRequests >= 0) headroomRequests * fleetShare else headroomRequests * windowRequests / maxOf(1, totalRequests)
        val maxRequests = minOf(capacityRequests, ownRequests + maxOf(MIN_WINDOW_HEADROOM_REQUESTS, headroomRequests * fleetShare))
        windowRequests = (windowRequests + changeRequests).coerceIn(MIN_WINDOW_REQUESTS, maxOf(MIN_WINDOW_REQUESTS, maxRequests))
    }

    fun onFirstToken(
        elapsedMs: Long,
        targetMs: Long,
        loadRequests: Double,
        nowMs: Long,
    ) {
        if (hasReport) return
        if (elapsedMs > CONGESTED_TARGET_SHARE * targetMs) {
            shrink(loadRequests, nowMs)
        } else if (loadRequests >= capacityRequests - 1) {
            capacityRequests = minOf(MAX_UNREPORTED_CAPACITY_REQUESTS, capacityRequests + 1 / capacityRequests)
            windowRequests = capacityRequests
        }
    }

    fun onRefusedBusy(
        ownRequests: Int,
        nowMs: Long,
    ) = shrink(ownRequests.toDouble(), nowMs)

    private fun shrink(
        loadRequests: Double,
        nowMs: Long,
    ) {
        // The answers of one congested spell count once, since they all saw the same queue.
        if (nowMs - lastShrinkAtMs < SHRINK_INTERVAL_MS) return
        lastShrinkAtMs = nowMs
        windowRequests = maxOf(MIN_WINDOW_REQUESTS, minOf(windowRequests, loadRequests) * SHRINK_FACTOR)
        if (!hasReport) {
            capacityRequests = maxOf(MIN_CAPACITY_REQUESTS, windowRequests)
            windowRequests = capacityRequests
        }
    }
}
