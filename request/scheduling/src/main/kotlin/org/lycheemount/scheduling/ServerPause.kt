package org.lycheemount.scheduling

private const val FULL_RETURN_LIMIT = 16

/**
 * Pause that a backend server has asked this router for, and the return after it: one request at first, and twice as many with each
 * that it accepts, so that the requests that waited do not arrive at once.
 */
internal class ServerPause {
    private var endsAtMs: Long? = null
    private var returnLimit = 1

    /** The server wants no requests until [endMs]. */
    fun onAsked(endMs: Long) {
        endsAtMs = maxOf(endsAtMs ?: endMs, endMs)
        returnLimit = 1
    }

    /** The server has begun to answer a request. If that was sent before the pause, it says nothing of the time after it. */
    fun onAccepted(sentAtMs: Long) {
        if (endsAtMs?.let { sentAtMs < it } != false) return
        returnLimit *= 2
        if (returnLimit >= FULL_RETURN_LIMIT) endsAtMs = null
    }

    /** Concurrent requests that the server may get. */
    fun allowedRequests(nowMs: Long): Int {
        val endMs = endsAtMs ?: return Int.MAX_VALUE
        return if (nowMs < endMs) 0 else returnLimit
    }

    /** End of the pause; null if there is none at [nowMs]. */
    fun endMs(nowMs: Long): Long? = endsAtMs?.takeIf { nowMs < it }
}
