package org.lycheemount.scheduling

import kotlin.math.pow

private const val GAIN = 0.2

// A server that takes s times the expected time misses 10 (s - 1) requests of its equal share between measurements, so the additional time
// of measurements is at most a tenth of the expected time of the equal share.
private const val MISSED_REQUESTS_PER_EXCESS = 10.0

/**
 * How much longer requests on one server take than expected, for the choice of servers.
 *
 * Handles a server that was slow for a while, and one that is slow for good. A server that its slowdown leaves out of the choice is
 * not measured any more, so the requests that it misses are counted. After some of them, the server competes for one request as if
 * it were not slow; the slower it was, the more. What that request shows counts as much as the missed requests would have counted together.
 * The count is in requests of the router, not in time: routers with few requests measure less often, and all of a large fleet
 * together no more than one router with the same load.
 */
internal class MeasuredSlowdown {
    private var slowdown = 1.0
    private var missedRequests = 0.0
    private var missedBeforeLastStart = 0.0

    /** Factor on the cost of the server, at least 1; 1 while a measurement is due. */
    val costFactor: Double get() = if (isDue) 1.0 else maxOf(1.0, slowdown)

    private val isDue: Boolean get() = missedRequests > 0 && missedRequests >= MISSED_REQUESTS_PER_EXCESS * (slowdown - 1)

    /** The slowdown has left the server out of the choice for a request of which its equal share is [share], from 0 to 1. */
    fun onMissed(share: Double) {
        missedRequests += share
    }

    /** A request goes to the server. */
    fun onChosen() {
        missedBeforeLastStart = maxOf(missedBeforeLastStart, missedRequests)
        missedRequests = 0.0
    }

    /** A request on the server took [serviceTimeRatio] times the expected time. */
    fun onSample(serviceTimeRatio: Double) {
        val gain = 1 - (1 - GAIN).pow(1 + missedBeforeLastStart)
        missedBeforeLastStart = 0.0
        slowdown += gain * (serviceTimeRatio - slowdown)
    }

    /** The server counts as healthy again after it was ejected. */
    fun reset() {
        slowdown = 1.0
        missedRequests = 0.0
        missedBeforeLastStart = 0.0
    }
}
