package org.lycheemount.scheduling

private const val EJECT_AFTER_FAILURES = 3
private const val FAILURE_GAIN = 0.2
private const val EJECT_FAILURE_SHARE = 0.5
private const val MIN_SAMPLES = 5
private const val FIRST_BACKOFF_MS = 1_000L
private const val MAX_BACKOFF_MS = 30_000L
private const val FORGIVEN_AFTER_MS = 60_000L
private const val READMIT_ALLOWANCE = 16
private const val SLOW_RATIO = 2.5
private const val SPEED_GAIN = 0.2
private const val LEAVING_EVIDENCE_MS = 60_000L

/**
 * Health of one backend server by passive evidence.
 *
 * A server that fails, hangs or is much slower than its peers is ejected. After a backoff it gets single probes, and each
 * answered probe doubles the requests it may have, until it is healthy again. The backoff of a server that fails
 * again soon grows, so a flapping server gets ever less work.
 */
internal class ServerHealth {
    private var consecutiveFailures = 0
    private var failureShare = 0.0
    private var samples = 0
    private var backoffMs = FIRST_BACKOFF_MS
    private var ejectedUntilMs: Long? = null
    private var healthySinceMs = 0L
    private var leavingUntilMs = Long.MIN_VALUE

    /** Requests allowed at once while the server proves itself; null when healthy. */
    private var allowance: Int? = null

    /** Mean ratio of observed to expected service time. */
    var slowness: Double = 1.0
        private set

    fun isLeaving(nowMs: Long): Boolean = nowMs < leavingUntilMs

    /** Requests that health allows the server to have at once; 0 while it is ejected. */
    fun allowedRequests(nowMs: Long): Int {
        val until = ejectedUntilMs
        if (until != null && nowMs < until) return 0
        return allowance ?: Int.MAX_VALUE
    }

    fun isHealthy(): Boolean = ejectedUntilMs == null && allowance == null

    /** When an ejected server may get its first probe, or null. */
    fun probeAtMs(): Long? = ejectedUntilMs

    fun onSuccess(
        speedRatio: Double,
        peerSlowness: Double,
        nowMs: Long,
    ) {
        consecutiveFailures = 0
        failureShare -= FAILURE_GAIN * failureShare
        samples++
        slowness += SPEED_GAIN * (speedRatio - slowness)
        if (allowance == null) {
            if (samples >= MIN_SAMPLES && slowness > SLOW_RATIO * maxOf(1.0, peerSlowness)) eject(nowMs)
            return
        }
        if (speedRatio > SLOW_RATIO * maxOf(1.0, peerSlowness)) return eject(nowMs)
        readmit(nowMs)
    }

    fun onFailure(
        kind: FailureKind,
        nowMs: Long,
    ) {
        if (kind == FailureKind.REFUSED_BUSY) return
        if (kind == FailureKind.REFUSED_LEAVING) {
            leavingUntilMs = nowMs + LEAVING_EVIDENCE_MS
            return
        }
        consecutiveFailures++
        samples++
        failureShare += FAILURE_GAIN * (1 - failureShare)
        val failing = samples >= MIN_SAMPLES && failureShare > EJECT_FAILURE_SHARE
        if (allowance != null || consecutiveFailures >= EJECT_AFTER_FAILURES || failing) eject(nowMs)
    }

    /** Ejects a server that has given no sign of life for much longer than its requests need. */
    fun onHang(nowMs: Long) {
        if (allowedRequests(nowMs) > 0) eject(nowMs)
    }

    /** The VM list says that the server is live and newer than the evidence that it is leaving. */
    fun onListedAnew() {
        leavingUntilMs = Long.MIN_VALUE
    }

    private fun eject(nowMs: Long) {
        val until = ejectedUntilMs
        if (until != null && nowMs < until) return
        if (allowance == null && nowMs - healthySinceMs > FORGIVEN_AFTER_MS) backoffMs = FIRST_BACKOFF_MS
        ejectedUntilMs = nowMs + backoffMs
        backoffMs = minOf(MAX_BACKOFF_MS, backoffMs * 2)
        allowance = 1
        consecutiveFailures = 0
    }

    private fun readmit(nowMs: Long) {
        ejectedUntilMs = null
        val next = (allowance ?: 1) * 2
        if (next < READMIT_ALLOWANCE) {
            allowance = next
            return
        }
        allowance = null
        samples = 0
        failureShare = 0.0
        slowness = 1.0
        healthySinceMs = nowMs
    }
}
