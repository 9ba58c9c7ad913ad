package org.lycheemount.scheduling

import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.RequestId

private const val HANG_FLOOR_MS = 2_000L
private const val HANG_FACTOR = 8.0
private const val INITIAL_SERVICE_MS = 2_000.0
private const val MEAN_GAIN = 0.1

/** What this router knows of one backend server. */
internal class ServerState(
    var server: BackendServer,
) {
    val health = ServerHealth()
    val limit = ConcurrencyLimit()
    val reported = ReportedLoad()
    val prefixes = PrefixIndex()
    private val inFlight = LinkedHashMap<RequestId, StartedRequest>()
    private var lastProgressAtMs = Long.MIN_VALUE

    /** Prompt tokens sent to the server that have not led to a first token yet. */
    var pendingPrefillTokens = 0
        private set

    /** Mean time of a request on the server. */
    var meanServiceMs = INITIAL_SERVICE_MS
        private set

    private var ownAtLastReport = 0

    val id: BackendServerId get() = server.backendServerId
    val ownInFlight: Int get() = inFlight.size

    fun load(nowMs: Long): Double = ownInFlight + reported.others(meanServiceMs, nowMs)

    /** Whether the server may get work at all. */
    fun isOpen(nowMs: Long): Boolean = !server.leaving && !health.isLeaving(nowMs) && health.allowedRequests(nowMs) > 0

    /**
     * Further requests that the server can take now, as a fraction; more than 0 allows one.
     *
     * Of the slots that were free at the last report this router takes [fleetShare], so that a burst need not wait for the
     * window and routers with the same report do not all fill the same slots.
     */
    fun room(
        fleetShare: Double,
        nowMs: Long,
    ): Double {
        if (!isOpen(nowMs)) return 0.0
        val freeAtReport = limit.limit - reported.others(meanServiceMs, nowMs) - ownAtLastReport
        val byLoad = freeAtReport * fleetShare - (ownInFlight - ownAtLastReport)
        return minOf(maxOf(limit.window - ownInFlight, byLoad), (health.allowedRequests(nowMs) - ownInFlight).toDouble())
    }

    /** Concurrent requests that this router can count on here. */
    fun ownShare(
        fleetShare: Double,
        nowMs: Long,
    ): Double = if (isOpen(nowMs)) maxOf(0.0, ownInFlight + room(fleetShare, nowMs)) else 0.0

    /** Share of the server's capacity that no router is expected to use. */
    fun idleShare(nowMs: Long): Double = 1 - load(nowMs) / limit.limit

    fun onReport(
        report: LoadReport,
        fleetShare: Double,
        nowMs: Long,
    ): Boolean {
        if (!reported.onReport(report, nowMs)) return false
        ownAtLastReport = ownInFlight
        reported.capacity?.let { limit.onReport(reported.totalAtReport, reported.ownAtReport, it, fleetShare) }
        return true
    }

    fun start(
        request: StartedRequest,
        nowMs: Long,
    ) {
        inFlight[request.item.requestId] = request
        pendingPrefillTokens += pendingTokens(request)
        prefixes.store(request.item.prefixHashes, nowMs)
        reported.onOwnLoad(ownInFlight, nowMs)
    }

    fun onFirstToken(
        request: StartedRequest,
        nowMs: Long,
    ) {
        if (request.firstTokenAtMs != null) return
        request.firstTokenAtMs = nowMs
        pendingPrefillTokens -= pendingTokens(request)
        lastProgressAtMs = nowMs
    }

    fun end(
        request: StartedRequest,
        answered: Boolean,
        nowMs: Long,
    ) {
        if (inFlight.remove(request.item.requestId) == null) return
        if (request.firstTokenAtMs == null) pendingPrefillTokens -= pendingTokens(request)
        if (answered) {
            lastProgressAtMs = nowMs
            meanServiceMs += MEAN_GAIN * (nowMs - request.startedAtMs - meanServiceMs)
        }
        reported.onOwnLoad(ownInFlight, nowMs)
    }

    /** When the server counts as hung if nothing comes from it until then, or null when no first token is outstanding. */
    fun hangAtMs(): Long? {
        val waiting = inFlight.values.firstOrNull { it.firstTokenAtMs == null } ?: return null
        val hangTimeoutMs = maxOf(HANG_FLOOR_MS, (HANG_FACTOR * waiting.estimate.firstTokenMs).toLong())
        return maxOf(waiting.startedAtMs, lastProgressAtMs) + hangTimeoutMs
    }

    private fun pendingTokens(request: StartedRequest) = request.item.promptTokens - request.predictedCachedTokens
}
