package org.lycheemount.scheduling

import org.lycheemount.common.BackendTarget
import org.lycheemount.common.SoftwareVersion

// A lead of a few requests lets urgency decide between teams but keeps one team from delaying another for long.
private const val MAX_TEAM_LEAD_REQUESTS = 4.0
private const val MIN_FLEET_SHARE = 0.02
private const val SHARE_GAIN = 0.01
private const val MEAN_GAIN = 0.1
private const val MIN_CALIBRATED_WAIT_MS = 50.0
private const val MIN_WAIT_CALIBRATION = 0.3
private const val MAX_WAIT_CALIBRATION = 3.0

/** Queue of one model or service, with the estimates that admission control uses. */
internal class TargetQueue(
    val target: BackendTarget,
    initialSpeeds: InitialSpeeds = InitialSpeeds(),
) {
    val fairQueue = FairQueue { MAX_TEAM_LEAD_REQUESTS * meanServiceMs }
    val estimator = ServiceEstimator(target, initialSpeeds)
    private var waitCalibration = 1.0
    private var meanServiceMs = 0.0
    private var meanOwnRequests = 0.0
    private var meanTotalRequests = 0.0

    /** This router's share of the load of all servers of the target; 1 before the first report. */
    val fleetShare: Double get() =
        when {
            meanTotalRequests <= 0.0 -> 1.0
            else -> (meanOwnRequests / meanTotalRequests).coerceIn(MIN_FLEET_SHARE, 1.0)
        }

    private var delayTolerantWorkMs = 0.0
    private var workMs = 0.0

    /** Share of the started work that is delay-tolerant. */
    val delayTolerantShare: Double get() = if (workMs <= 0.0) 0.0 else delayTolerantWorkMs / workMs

    fun onReport(
        ownRequests: Int,
        totalRequests: Int,
    ) {
        meanOwnRequests += SHARE_GAIN * (ownRequests - meanOwnRequests)
        meanTotalRequests += SHARE_GAIN * (maxOf(ownRequests, totalRequests) - meanTotalRequests)
    }

    /** Expected queueing time of the new request [item], given the slots that this router can use on the [available] servers. */
    fun waitMs(
        item: WorkItem,
        dueAtMs: Long,
        available: List<ServerState>,
        nowMs: Long,
    ): Double {
        val servers = available.filter { item.allows(it.server) }
        val aheadMs = fairQueue.workAheadMs(item.teamId, dueAtMs) { versions -> competingShare(item, versions, available, nowMs) }
        val freeSlots = servers.sumOf { maxOf(0.0, it.freeSlots(fleetShare, nowMs)) }
        if (aheadMs <= 0.0 && freeSlots > 0.0) return 0.0
        val usableSlots = servers.sumOf { it.usableSlots(fleetShare, nowMs) }
        if (usableSlots <= 0.0) return Double.MAX_VALUE
        // Requests ahead that can start in a free slot now do not delay this one.
        val delayingMs = maxOf(0.0, aheadMs + meanServiceMs - maxOf(0.0, freeSlots) * meanServiceMs)
        return waitCalibration * delayingMs / usableSlots
    }

    /** Share of the work with the allowed [versions] that is expected to run on servers that [item] may use. */
    private fun competingShare(
        item: WorkItem,
        versions: Set<SoftwareVersion>?,
        available: List<ServerState>,
        nowMs: Long,
    ): Double {
        if (item.allowedVersions == null || item.allowedVersions == versions) return 1.0
        val servers = available.filter { it.server.hasAllowedVersion(versions) }
        val shared = servers.filter { it.server.hasAllowedVersion(item.allowedVersions) }
        if (shared.size == servers.size) return 1.0
        val sharedSlots = shared.sumOf { it.usableSlots(fleetShare, nowMs) }
        return if (sharedSlots <= 0.0) 0.0 else sharedSlots / servers.sumOf { it.usableSlots(fleetShare, nowMs) }
    }

    fun onStarted(
        request: QueuedRequest,
        nowMs: Long,
    ) {
        meanServiceMs = if (meanServiceMs == 0.0) request.serviceMs else meanServiceMs + MEAN_GAIN * (request.serviceMs - meanServiceMs)
        workMs += SHARE_GAIN * (request.serviceMs - workMs)
        delayTolerantWorkMs += SHARE_GAIN * ((if (request.isDelayTolerant) request.serviceMs else 0.0) - delayTolerantWorkMs)
        if (request.workClass.mustFinish || request.predictedWaitMs < MIN_CALIBRATED_WAIT_MS) return
        val ratio = (nowMs - request.submittedAtMs) * waitCalibration / request.predictedWaitMs
        waitCalibration = (waitCalibration + MEAN_GAIN * (ratio - waitCalibration)).coerceIn(MIN_WAIT_CALIBRATION, MAX_WAIT_CALIBRATION)
    }
}
