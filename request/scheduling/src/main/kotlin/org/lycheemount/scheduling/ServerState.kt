package org.lycheemount.scheduling

import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.RequestId

private const val MIN_HANG_TIMEOUT_MS = 2_000L
private const val HANG_TIMEOUT_FACTOR = 8.0
private const val INITIAL_SERVICE_MS = 2_000.0
private const val MEAN_GAIN = 0.1
private const val MS_PER_SECOND = 1_000.0

/** State of one backend server as observed by this router. */
internal class ServerState(
    var server: BackendServer,
) {
    val health = ServerHealth()
    val concurrencyLimit = ConcurrencyLimit()
    val reportedLoad = ReportedLoad()
    val prefixIndex = PrefixIndex()
    val requestLimit = RequestLimit()
    val coldLimit = RequestLimit(::ColdRequestShare)
    val departure = ServerDeparture()
    val pause = ServerPause()
    val momentarySpeed = MomentarySpeed()
    private val inFlight = LinkedHashMap<RequestId, StartedRequest>()
    private var lastProgressAtMs = Long.MIN_VALUE

    /** Uncached prompt tokens of requests on the server that have no first token yet. */
    var pendingPrefillTokens = 0
        private set

    /** Moving average of the time of a request on the server, in milliseconds. */
    var meanServiceMs = INITIAL_SERVICE_MS
        private set

    private var ownRequestsAtLastReport = 0
    private var wasOpen = true

    /** Whether the operator has the zone of the server evacuated. */
    var isEvacuated = false

    val id: BackendServerId get() = server.backendServerId
    val ownInFlight: Int get() = inFlight.size

    fun estimatedLoad(nowMs: Long): Double = ownInFlight + reportedLoad.otherRouterRequests(meanServiceMs, nowMs)

    /** Whether the server is about to shut down, by its entry or by what it has said itself. */
    fun isLeaving(nowMs: Long): Boolean = server.leaving || departure.isLeaving(nowMs)

    /** Time until which the server, which is leaving, may get requests that no other server can take; null if it may not. */
    fun lastRequestsEndMs(nowMs: Long): Long? = if (server.leaving) null else departure.lastRequestsEndMs(nowMs)

    /** Whether the server may get new requests. If it [isLeaving], only those that no other server can take. */
    fun isOpen(nowMs: Long): Boolean = !isEvacuated && staysOrTakesLastRequests(nowMs)

    /** Whether the server would be open if its zone were not evacuated. */
    fun isClosedByEvacuation(nowMs: Long): Boolean = isEvacuated && staysOrTakesLastRequests(nowMs)

    private fun staysOrTakesLastRequests(nowMs: Long) = !isLeaving(nowMs) || lastRequestsEndMs(nowMs) != null

    /** Whether the server is no longer open but was so at the last call. */
    fun hasClosed(nowMs: Long): Boolean {
        val wasOpenBefore = wasOpen
        wasOpen = isOpen(nowMs)
        return wasOpenBefore && !wasOpen
    }

    /** Whether the server [isOpen], does not pause, and its health allows a request. */
    fun isAvailable(nowMs: Long): Boolean = isOpen(nowMs) && allowedRequests(nowMs) > 0

    /** Concurrent requests that the server may get, whatever its load. */
    private fun allowedRequests(nowMs: Long): Int = minOf(health.allowedRequests(nowMs), pause.allowedRequests(nowMs))

    /**
     * Free slots that this router may fill now. Fractional; any value above 0 allows one more request.
     *
     * This router claims only [fleetShare] of the slots that were free at the last report, so that routers with the same
     * report do not all fill the same slots. Within that share a burst may exceed the window.
     */
    fun freeSlots(
        fleetShare: Double,
        nowMs: Long,
    ): Double {
        if (!isAvailable(nowMs)) return 0.0
        val freeAtReport =
            concurrencyLimit.capacityRequests - reportedLoad.otherRouterRequests(meanServiceMs, nowMs) - ownRequestsAtLastReport
        val byReportedLoad = freeAtReport * fleetShare - (ownInFlight - ownRequestsAtLastReport)
        return minOf(
            maxOf(concurrencyLimit.windowRequests - ownInFlight, byReportedLoad),
            (allowedRequests(nowMs) - ownInFlight).toDouble(),
            requestLimit.availableRequests(nowMs).toDouble(),
            coldLimit.availableRequests(nowMs).toDouble(),
        )
    }

    /** Concurrent requests that this router can run on the server. */
    fun usableSlots(
        fleetShare: Double,
        nowMs: Long,
    ): Double {
        if (!isAvailable(nowMs)) return 0.0
        // By Little's law, a limit on the rate of requests is one on the requests in progress.
        val limitPerS = listOfNotNull(requestLimit.requestsPerS, coldLimit.requestsPerS).minOrNull()
        if (limitPerS != null) return limitPerS * meanServiceMs / MS_PER_SECOND
        return maxOf(0.0, ownInFlight + freeSlots(fleetShare, nowMs))
    }

    /** Estimated share of the server's capacity that no router uses. */
    fun idleShare(nowMs: Long): Double = 1 - estimatedLoad(nowMs) / concurrencyLimit.capacityRequests

    /** Applies that a run of the server is cold, or that none is if [cold] is null. */
    fun onCold(
        cold: ColdServer?,
        fleet: RouterFleet?,
        nowMs: Long,
    ) {
        val statement =
            when {
                cold != null && cold.vmId == server.vmId && nowMs < cold.endsAtMs ->
                    RequestLimitStatement(id, server.vmId, cold.requestsPerS, nowMs, endsAtMs = cold.endsAtMs)
                coldLimit.isLimited -> RequestLimitStatement(id, server.vmId, requestsPerS = null, asOfMs = nowMs)
                else -> return
            }
        coldLimit.onStatement(statement, fleet, nowMs)
    }

    /** Applies a change of the routers that share the limits. */
    fun onFleet(
        fleet: RouterFleet,
        nowMs: Long,
    ) {
        requestLimit.onFleet(fleet, nowMs)
        coldLimit.onFleet(fleet, nowMs)
    }

    /** Ends the limits that are over; called before the other functions. */
    fun updateLimits(
        fleet: RouterFleet?,
        nowMs: Long,
    ) {
        requestLimit.update(fleet, nowMs)
        coldLimit.update(fleet, nowMs)
    }

    /** Times at which the server may get a request that it may not get now, as far as they are known. */
    fun requestTimesMs(nowMs: Long): List<Long> {
        val permitAtMs = listOfNotNull(requestLimit.nextRequestAtMs(nowMs), coldLimit.nextRequestAtMs(nowMs)).maxOrNull()
        return listOfNotNull(
            permitAtMs?.takeIf { it > nowMs },
            lastRequestsEndMs(nowMs),
            pause.endMs(nowMs),
            health.probeAtMs()?.takeIf { it > nowMs },
        )
    }

    fun onReport(
        report: LoadReport,
        fleetShare: Double,
        nowMs: Long,
    ): Boolean {
        if (!reportedLoad.onReport(report, nowMs)) return false
        ownRequestsAtLastReport = ownInFlight
        report.workTime?.let { momentarySpeed.onReport(it, nowMs - report.ageMs) }
        reportedLoad.capacity?.let {
            concurrencyLimit.onReport(reportedLoad.totalRequestsAtReport, reportedLoad.ownRequestsAtReport, it, fleetShare)
        }
        return true
    }

    fun start(
        request: StartedRequest,
        nowMs: Long,
    ) {
        inFlight[request.item.requestId] = request
        pendingPrefillTokens += uncachedPromptTokens(request)
        prefixIndex.store(request.item.prefixHashes, nowMs)
        requestLimit.onRequest(nowMs)
        coldLimit.onRequest(nowMs)
        reportedLoad.recordOwnLoad(ownInFlight, nowMs)
    }

    fun onFirstToken(
        request: StartedRequest,
        nowMs: Long,
    ) {
        if (request.firstTokenAtMs != null) return
        request.firstTokenAtMs = nowMs
        pendingPrefillTokens -= uncachedPromptTokens(request)
        lastProgressAtMs = nowMs
    }

    fun end(
        request: StartedRequest,
        isAnswered: Boolean,
        nowMs: Long,
    ) {
        if (inFlight.remove(request.item.requestId) == null) return
        if (request.firstTokenAtMs == null) pendingPrefillTokens -= uncachedPromptTokens(request)
        if (isAnswered) {
            lastProgressAtMs = nowMs
            meanServiceMs += MEAN_GAIN * (nowMs - request.startedAtMs - meanServiceMs)
        }
        reportedLoad.recordOwnLoad(ownInFlight, nowMs)
    }

    fun recordCacheHit(
        request: StartedRequest,
        cachedPromptTokens: Int,
    ) {
        val item = request.item
        if (item.promptTokens == 0) return
        val blocks = (cachedPromptTokens.toLong() * item.prefixHashes.size / item.promptTokens).toInt()
        prefixIndex.onObserved(request.predictedBlocks, blocks)
    }

    /** Time at which the server counts as hung unless it makes progress before; null when no first token is outstanding. */
    fun hangDeadlineMs(): Long? {
        val awaitingFirstToken = inFlight.values.firstOrNull { it.firstTokenAtMs == null } ?: return null
        val hangTimeoutMs = maxOf(MIN_HANG_TIMEOUT_MS, (HANG_TIMEOUT_FACTOR * awaitingFirstToken.estimate.firstTokenMs).toLong())
        return maxOf(awaitingFirstToken.startedAtMs, lastProgressAtMs) + hangTimeoutMs
    }

    private fun uncachedPromptTokens(request: StartedRequest) = request.item.promptTokens - request.predictedCachedTokens
}
