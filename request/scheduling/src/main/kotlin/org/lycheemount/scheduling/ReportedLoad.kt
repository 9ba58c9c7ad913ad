package org.lycheemount.scheduling

import kotlin.math.exp

private const val MEAN_GAIN = 0.2
private const val HISTORY_MS = 15_000L

/**
 * Estimates the load that other routers put on one backend server from its lagged load reports.
 *
 * The weight of the last report decays with its age in favour of the mean of earlier reports, so that an old report does
 * not bias the choice of servers for long.
 */
internal class ReportedLoad {
    private val ownLoadHistory = ArrayDeque<OwnLoad>()
    private var measuredAtMs = 0L
    private var otherRequestsAtReport = 0.0
    private var meanOtherRequests = 0.0
    private var reportCount = 0

    /** Concurrent requests that the server reports it can run; null before the first report. */
    var capacity: Int? = null
        private set

    /** Requests of all routers in the last report. */
    var totalRequestsAtReport: Int = 0
        private set

    /** Requests of this router when the last report was measured. */
    var ownRequestsAtReport: Int = 0
        private set

    /** Records this router's own requests in flight, which are subtracted from later reports. */
    fun recordOwnLoad(
        inFlight: Int,
        nowMs: Long,
    ) {
        ownLoadHistory.addLast(OwnLoad(nowMs, inFlight))
        while (ownLoadHistory.size > 1 && ownLoadHistory[1].recordedAtMs < nowMs - HISTORY_MS) ownLoadHistory.removeFirst()
    }

    /** Applies [report]; returns false and ignores it when it is not newer than the last one. */
    fun onReport(
        report: LoadReport,
        nowMs: Long,
    ): Boolean {
        val reportedAtMs = nowMs - report.ageMs
        if (reportCount > 0 && reportedAtMs <= measuredAtMs) return false
        measuredAtMs = reportedAtMs
        ownRequestsAtReport = ownLoadHistory.lastOrNull { it.recordedAtMs <= reportedAtMs }?.inFlight ?: 0
        totalRequestsAtReport = report.runningRequests + report.queuedRequests
        otherRequestsAtReport = maxOf(0, totalRequestsAtReport - ownRequestsAtReport).toDouble()
        meanOtherRequests =
            if (reportCount == 0) otherRequestsAtReport else meanOtherRequests + MEAN_GAIN * (otherRequestsAtReport - meanOtherRequests)
        if (report.capacity > 0) capacity = report.capacity
        reportCount++
        return true
    }

    /**
     * Expected requests of other routers on the server.
     *
     * A report does not cover later requests, so the shorter the requests on the server are, the faster its weight decays.
     */
    fun otherRouterRequests(
        meanServiceMs: Double,
        nowMs: Long,
    ): Double {
        if (reportCount == 0) return 0.0
        val weight = exp(-(nowMs - measuredAtMs) / maxOf(1.0, meanServiceMs))
        return weight * otherRequestsAtReport + (1 - weight) * meanOtherRequests
    }

    private class OwnLoad(
        val recordedAtMs: Long,
        val inFlight: Int,
    )
}
