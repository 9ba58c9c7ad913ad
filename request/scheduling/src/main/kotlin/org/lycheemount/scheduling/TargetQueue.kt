package org.lycheemount.scheduling

import org.lycheemount.common.BackendTarget

// A lead of a few requests lets urgency decide among teams without letting one keep another waiting for long.
private const val TEAM_LEAD_REQUESTS = 4.0
private const val MIN_FLEET_SHARE = 0.02
private const val SHARE_GAIN = 0.01
private const val WAIT_GAIN = 0.1
private const val MIN_CALIBRATED_WAIT_MS = 50.0
private const val MIN_CALIBRATION = 0.3
private const val MAX_CALIBRATION = 3.0

/** Queue of one model or service with the estimates that admission is based on. */
internal class TargetQueue(
    val target: BackendTarget,
    initialSpeeds: InitialSpeeds = InitialSpeeds(),
) {
    val queue = FairQueue { TEAM_LEAD_REQUESTS * meanServiceMs }
    val estimator = ServiceEstimator(target, initialSpeeds)
    private var calibration = 1.0
    private var meanServiceMs = 0.0
    private var ownMean = 0.0
    private var totalMean = 0.0

    /** This router's share of the load of all servers of the target; 1 before the first report. */
    val fleetShare: Double get() = if (totalMean <= 0.0) 1.0 else (ownMean / totalMean).coerceIn(MIN_FLEET_SHARE, 1.0)

    private var delayTolerantWorkMs = 0.0
    private var workMs = 0.0

    /** Share of the started work that may wait. */
    val delayTolerantShare: Double get() = if (workMs <= 0.0) 0.0 else delayTolerantWorkMs / workMs

    fun onReport(
        own: Int,
        total: Int,
    ) {
        ownMean += SHARE_GAIN * (own - ownMean)
        totalMean += SHARE_GAIN * (maxOf(own, total) - totalMean)
    }

    /** Expected time in the queue of a new request, given what the open servers can run for this router. */
    fun waitMs(
        item: WorkItem,
        dueAtMs: Long,
        servers: List<ServerState>,
        nowMs: Long,
    ): Double {
        val aheadMs = queue.workAheadMs(item.teamId, dueAtMs)
        val room = servers.sumOf { maxOf(0.0, it.room(fleetShare, nowMs)) }
        if (aheadMs <= 0.0 && room > 0.0) return 0.0
        val slots = servers.sumOf { it.ownShare(fleetShare, nowMs) }
        if (slots <= 0.0) return Double.MAX_VALUE
        // Requests ahead that find room now do not delay this one.
        val delayingMs = maxOf(0.0, aheadMs + meanServiceMs - maxOf(0.0, room) * meanServiceMs)
        return calibration * delayingMs / slots
    }

    fun onStarted(
        request: QueuedRequest,
        nowMs: Long,
    ) {
        meanServiceMs = if (meanServiceMs == 0.0) request.serviceMs else meanServiceMs + WAIT_GAIN * (request.serviceMs - meanServiceMs)
        workMs += SHARE_GAIN * (request.serviceMs - workMs)
        delayTolerantWorkMs += SHARE_GAIN * ((if (request.isDelayTolerant) request.serviceMs else 0.0) - delayTolerantWorkMs)
        if (request.workClass.mustFinish || request.predictedWaitMs < MIN_CALIBRATED_WAIT_MS) return
        val ratio = (nowMs - request.submittedAtMs) * calibration / request.predictedWaitMs
        calibration = (calibration + WAIT_GAIN * (ratio - calibration)).coerceIn(MIN_CALIBRATION, MAX_CALIBRATION)
    }
}
