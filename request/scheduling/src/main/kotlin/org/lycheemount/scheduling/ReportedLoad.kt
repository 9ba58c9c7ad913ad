package org.lycheemount.scheduling

import kotlin.math.exp

private const val MEAN_GAIN = 0.2
private const val HISTORY_MS = 15_000L

/**
 * Estimates the load that other routers put on one backend server from its lagged load reports.
 *
 * A report loses weight with its age in favour of the mean of earlier reports, so that an old one neither attracts nor
 * repels work for long.
 */
internal class ReportedLoad {
    private val ownHistory = ArrayDeque<OwnLoad>()
    private var measuredAtMs = 0L
    private var othersAtReport = 0.0
    private var meanOthers = 0.0
    private var reports = 0

    /** Requests that the server says it can run at once; null before the first report. */
    var capacity: Int? = null
        private set

    /** Requests of all routers in the last report. */
    var totalAtReport: Int = 0
        private set

    /** Requests of this router when the last report was measured. */
    var ownAtReport: Int = 0
        private set

    /** Remembers this router's own requests in flight, to be taken off later reports. */
    fun onOwnLoad(
        inFlight: Int,
        nowMs: Long,
    ) {
        ownHistory.addLast(OwnLoad(nowMs, inFlight))
        while (ownHistory.size > 1 && ownHistory[1].atMs < nowMs - HISTORY_MS) ownHistory.removeFirst()
    }

    /** Takes in [report] and returns false when it is no newer than the last one. */
    fun onReport(
        report: LoadReport,
        nowMs: Long,
    ): Boolean {
        val atMs = nowMs - report.ageMs
        if (reports > 0 && atMs <= measuredAtMs) return false
        measuredAtMs = atMs
        ownAtReport = ownHistory.lastOrNull { it.atMs <= atMs }?.inFlight ?: 0
        totalAtReport = report.runningRequests + report.queuedRequests
        othersAtReport = maxOf(0, totalAtReport - ownAtReport).toDouble()
        meanOthers = if (reports == 0) othersAtReport else meanOthers + MEAN_GAIN * (othersAtReport - meanOthers)
        if (report.capacity > 0) capacity = report.capacity
        reports++
        return true
    }

    /**
     * Expected requests of other routers on the server.
     *
     * A report says nothing of requests that came after it, so it is worth less the shorter requests run there.
     */
    fun others(
        meanServiceMs: Double,
        nowMs: Long,
    ): Double {
        if (reports == 0) return 0.0
        val weight = exp(-(nowMs - measuredAtMs) / maxOf(1.0, meanServiceMs))
        return weight * othersAtReport + (1 - weight) * meanOthers
    }

    private class OwnLoad(
        val atMs: Long,
        val inFlight: Int,
    )
}
