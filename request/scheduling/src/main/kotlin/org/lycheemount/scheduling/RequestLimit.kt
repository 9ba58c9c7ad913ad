package org.lycheemount.scheduling

private const val STEP_MS = 1_000L

// Doubled as often, the smallest limit exceeds what a router sends to one server.
private const val RETURN_STEPS = 8

/**
 * Requests that this router may send to one backend server under the limit that the server has named.
 *
 * The limit holds until the server responds without one, or until the time at which it ends by itself. A server that gets no requests has
 * no occasion to name it, so it does not lapse. At its end it doubles each second first, so that the waiting requests of all routers do
 * not arrive at once.
 *
 * @param createShare this router's share of a limit of [requestsPerS][RequestShare.requestsPerS] while the limit holds.
 */
internal class RequestLimit(
    private val createShare: (
        serverHash: Int,
        requestsPerS: Double,
        fleet: RouterFleet,
        sinceMs: Long,
    ) -> RequestShare = ::RequestLimitShare,
) {
    private var statement: RequestLimitStatement? = null
    private var returningSinceMs: Long? = null
    private var step = 0L
    private var share: RequestShare? = null

    /** Whether the server has named a limit that has not ended. */
    val isLimited: Boolean get() = statement != null

    /** What the server has said last; null if no limit holds. */
    val current: RequestLimitStatement? get() = statement

    /** Applies what the server has said. [fleet] is null while this router does not know the others. */
    fun onStatement(
        said: RequestLimitStatement,
        fleet: RouterFleet?,
        nowMs: Long,
    ) {
        val known = statement
        if (known != null && said.asOfMs < known.asOfMs) return
        val namedPerS = said.requestsPerS
        when {
            namedPerS == null -> if (known != null && returningSinceMs == null) startReturn(fleet, nowMs)
            known == null || known.requestsPerS != namedPerS || returningSinceMs != null -> {
                statement = said
                returningSinceMs = null
                renewShare(fleet, nowMs)
            }
            else -> statement = said
        }
    }

    /** Applies a change of the routers or of their common time. */
    fun onFleet(
        fleet: RouterFleet,
        nowMs: Long,
    ) {
        if (isLimited) renewShare(fleet, nowMs)
    }

    /** Ends a limit that is over; called before the other functions. */
    fun update(
        fleet: RouterFleet?,
        nowMs: Long,
    ) {
        val limit = statement ?: return
        val sinceMs = returningSinceMs
        if (sinceMs == null) {
            if (limit.endsAtMs != null && nowMs >= limit.endsAtMs) startReturn(fleet, nowMs)
            return
        }
        val currentStep = (nowMs - sinceMs) / STEP_MS
        if (currentStep >= RETURN_STEPS) {
            statement = null
            returningSinceMs = null
            share = null
        } else if (currentStep != step) {
            step = currentStep
            renewShare(fleet, nowMs)
        }
    }

    /** Number of requests that this router may send now. */
    fun availableRequests(nowMs: Long): Int = if (isLimited) share?.availableRequests(nowMs) ?: 0 else Int.MAX_VALUE

    /** Requests that this router may send, a second; null without a limit. */
    val requestsPerS: Double? get() = if (isLimited) share?.requestsPerS ?: 0.0 else null

    /** Time at which this router may send the next request; null if it is unknown or there is no limit. */
    fun nextRequestAtMs(nowMs: Long): Long? = share?.nextPermitAtMs(nowMs)

    /** A request is sent to the server. */
    fun onRequest(nowMs: Long) {
        share?.onRequest(nowMs)
    }

    private fun startReturn(
        fleet: RouterFleet?,
        nowMs: Long,
    ) {
        returningSinceMs = nowMs
        step = 0
        renewShare(fleet, nowMs)
    }

    private fun renewShare(
        fleet: RouterFleet?,
        nowMs: Long,
    ) {
        val limit = statement ?: return
        val serverHash = limit.backendServerId.value.hashCode()
        val limitPerS = checkNotNull(limit.requestsPerS)
        share =
            when {
                fleet == null -> null
                returningSinceMs == null -> createShare(serverHash, limitPerS, fleet, nowMs)
                else -> RequestLimitShare(serverHash, limitPerS * (2L shl step.toInt()), fleet, nowMs)
            }
    }
}
