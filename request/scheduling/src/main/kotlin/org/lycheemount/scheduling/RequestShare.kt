package org.lycheemount.scheduling

/** This router's share of the requests that a server takes from all routers. Times are monotonic times of this router. */
internal interface RequestShare {
    /** Requests that this router may send, a second. */
    val requestsPerS: Double

    /** Number of requests that this router may send now. */
    fun availableRequests(nowMs: Long): Int

    /** Uses one permit. */
    fun onRequest(nowMs: Long)

    /** Time of the next permit, or null if this router gets none. */
    fun nextPermitAtMs(nowMs: Long): Long?
}
