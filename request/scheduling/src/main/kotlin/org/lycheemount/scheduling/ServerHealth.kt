package org.lycheemount.scheduling

private const val EJECT_AFTER_FAILURES = 3
private const val FAILURE_GAIN = 0.2
private const val EJECT_FAILURE_SHARE = 0.5
private const val MIN_SAMPLES = 5
private const val FIRST_BACKOFF_MS = 1_000L
private const val MAX_BACKOFF_MS = 30_000L
private const val BACKOFF_RESET_AFTER_MS = 60_000L
private const val FULL_ADMISSION_LIMIT = 16
private const val SLOW_SERVER_RATIO = 2.5
private const val SLOWDOWN_GAIN = 0.2
private const val LEAVING_RETENTION_MS = 60_000L

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
    private var probationLimit: Int? = null

    /** Mean ratio of observed to expected service time. */
    var slowdown: Double = 1.0
        private set

    fun isLeaving(nowMs: Long): Boolean = nowMs < leavingUntilMs

    /** Requests that health allows the server to have at once; 0 while it is ejected. */
    fun allowedRequests(nowMs: Long): Int {
        val ejectedUntil = ejectedUntilMs
        if (ejectedUntil != null && nowMs < ejectedUntil) return 0
        return probationLimit ?: Int.MAX_VALUE
    }

    fun isHealthy(): Boolean = ejectedUntilMs == null && probationLimit == null

    /** When an ejected server may get its first probe, or null. */
    fun probeAtMs(): Long? = ejectedUntilMs

    fun onSuccess(
        serviceTimeRatio: Double,
        medianPeerSlowdown: Double,
        nowMs: Long,
    ) {
        consecutiveFailures = 0
        failureShare -= FAILURE_GAIN * failureShare
        samples++
        slowdown += SLOWDOWN_GAIN * (serviceTimeRatio - slowdown)
        if (probationLimit == null) {
            if (samples >= MIN_SAMPLES && slowdown > SLOW_SERVER_RATIO * maxOf(1.0, medianPeerSlowdown)) eject(nowMs)
            return
        }
        if (serviceTimeRatio > SLOW_SERVER_RATIO * maxOf(1.0, medianPeerSlowdown)) return eject(nowMs)
        raiseProbationLimit(nowMs)
    }

    fun onFailure(
        kind: FailureKind,
        nowMs: Long,
    ) {
        if (kind == FailureKind.REFUSED_BUSY) return
        if (kind == FailureKind.REFUSED_LEAVING) {
            leavingUntilMs = nowMs + LEAVING_RETENTION_MS
            return
        }
        consecutiveFailures++
        samples++
        failureShare += FAILURE_GAIN * (1 - failureShare)
        val isFailing = samples >= MIN_SAMPLES && failureShare > EJECT_FAILURE_SHARE
        if (probationLimit != null || consecutiveFailures >= EJECT_AFTER_FAILURES || isFailing) eject(nowMs)
    }

    /** Ejects a server that has given no sign of life for much longer than its requests need. */
    fun onHang(nowMs: Long) {
        if (allowedRequests(nowMs) > 0) eject(nowMs)
    }

    /** The VM list says that the server is live and newer than the evidence that it is leaving. */
    fun onListedAsLive() {
        leavingUntilMs = Long.MIN_VALUE
    }

    private fun eject(nowMs: Long) {
        val ejectedUntil = ejectedUntilMs
        if (ejectedUntil != null && nowMs < ejectedUntil) return
        if (probationLimit == null && nowMs - healthySinceMs > BACKOFF_RESET_AFTER_MS) backoffMs = FIRST_BACKOFF_MS
        ejectedUntilMs = nowMs + backoffMs
        backoffMs = minOf(MAX_BACKOFF_MS, backoffMs * 2)
        probationLimit = 1
        consecutiveFailures = 0
    }

    private fun raiseProbationLimit(nowMs: Long) {
        ejectedUntilMs = null
        val nextLimit = (probationLimit ?: 1) * 2
        if (nextLimit < FULL_ADMISSION_LIMIT) {
            probationLimit = nextLimit
            return
        }
        probationLimit = null
        samples = 0
        failureShare = 0.0
        slowdown = 1.0
        healthySinceMs = nowMs
    }
}
