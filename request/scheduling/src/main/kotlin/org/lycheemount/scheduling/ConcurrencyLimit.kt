package org.lycheemount.scheduling

private const val INITIAL_CAPACITY_REQUESTS = 8.0
private const val MIN_CAPACITY_REQUESTS = 1.0
private const val MAX_UNREPORTED_CAPACITY_REQUESTS = 1024.0
private const val SHRINK_FACTOR = 0.85
private const val SHRINK_INTERVAL_MS = 500L

// Prefills of other requests can delay a first token by up to a second even on an engine with free slots. Therefore only a
// delay close to the first-token target of the class counts as congestion.
private const val CONGESTED_TARGET_SHARE = 0.8

// Above 1, because a short queue at the server keeps its slots busy between reports.
private const val TARGET_UTILIZATION = 1.05
private const val MIN_WINDOW_REQUESTS = 0.5
private const val MIN_WINDOW_HEADROOM_REQUESTS = 1.0

/**
 * Adaptive limit on the concurrent requests of this router on one backend server.
 *
 * While the server reports its load, the window moves by this router's share of the difference between capacity and
 * reported load. Routers that see the same free slots thus divide them instead of each filling all of them. Without
 * reports, the window follows the times to first token.
 */
internal class ConcurrencyLimit {
    private var lastShrinkAtMs = Long.MIN_VALUE / 2
    private var hasReport = false

    /** Concurrent requests that the server can run for all routers. */
    var capacityRequests: Double = INITIAL_CAPACITY_REQUESTS
        private set

    /** Concurrent requests that this router may have on the server. */
    var windowRequests: Double = INITIAL_CAPACITY_REQUESTS
        private set

    /** Applies a new load report. [fleetShare] is this router's share of the load on all servers of the target. */
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
        // Additive growth and proportional shrinking make the windows of all routers converge.
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
        // Counts the responses of one congestion period once, because they all saw the same queue.
        if (nowMs - lastShrinkAtMs < SHRINK_INTERVAL_MS) return
        lastShrinkAtMs = nowMs
        windowRequests = maxOf(MIN_WINDOW_REQUESTS, minOf(windowRequests, loadRequests) * SHRINK_FACTOR)
        if (!hasReport) {
            capacityRequests = maxOf(MIN_CAPACITY_REQUESTS, windowRequests)
            windowRequests = capacityRequests
        }
    }
}
