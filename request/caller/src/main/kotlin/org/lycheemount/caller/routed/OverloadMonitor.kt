package org.lycheemount.caller.routed

import org.lycheemount.common.EventLog

/**
 * Tells whether this router is overloaded, so that the load balancer sends new callers to other routers. Thread-safe.
 *
 * The load pattern: the load balancer chooses routers by a hash of the caller, so one router may get several times its share for as long
 * as it is ready. Refusals do not help its callers much, since each of them takes processor time as well.
 */
internal class OverloadMonitor(
    private val eventLog: EventLog,
) {
    private var windowStartedAtMs = Long.MIN_VALUE / 2
    private var requestCount = 0
    private var delayedRequestCount = 0
    private var overloadedUntilMs = Long.MIN_VALUE / 2
    private var wasOverloaded = false

    /** Records that the tasks of a request waited [queueDelayMs] for the processor each time. */
    @Synchronized
    fun onRequest(
        queueDelayMs: Long,
        nowMs: Long,
    ) {
        if (nowMs - windowStartedAtMs >= WINDOW_MS) startWindow(nowMs)
        requestCount++
        if (queueDelayMs >= OVERLOAD_DELAY_MS) delayedRequestCount++
        if (requestCount >= MIN_REQUESTS && delayedRequestCount * DELAYED_SHARE_DIVISOR >= requestCount) {
            overloadedUntilMs = nowMs + HOLD_MS
        }
        logChange(nowMs)
    }

    /** Whether new callers should go elsewhere at [nowMs]. */
    @Synchronized
    fun isOverloaded(nowMs: Long): Boolean {
        logChange(nowMs)
        return nowMs < overloadedUntilMs
    }

    private fun startWindow(nowMs: Long) {
        windowStartedAtMs = nowMs
        requestCount = 0
        delayedRequestCount = 0
    }

    private fun logChange(nowMs: Long) {
        val isOverloaded = nowMs < overloadedUntilMs
        if (isOverloaded == wasOverloaded) return
        wasOverloaded = isOverloaded
        if (isOverloaded) {
            eventLog.warn("router_overloaded", "requests" to requestCount, "delayed" to delayedRequestCount, "window_ms" to WINDOW_MS)
        } else {
            eventLog.info("router_not_overloaded")
        }
    }

    private companion object {
        private const val WINDOW_MS = 1_000L
        private const val MIN_REQUESTS = 8

        // With about ten turns of the processor, a request then takes a quarter of a second longer than its server does.
        private const val OVERLOAD_DELAY_MS = 25L
        private const val DELAYED_SHARE_DIVISOR = 2

        // The load balancer checks once a second and removes a router after two failed checks.
        private const val HOLD_MS = 4_000L
    }
}
