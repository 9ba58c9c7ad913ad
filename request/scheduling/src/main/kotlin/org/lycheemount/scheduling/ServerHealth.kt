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

/**
 * Passive health tracking of one backend server.
 *
 * A server that fails, hangs or is much slower than its peers is ejected. After a backoff it is on probation with one
 * request at a time. Each success doubles that limit until the server is healthy again. The backoff doubles when a server
 * fails again soon, so a flapping server gets less and less work.
 */
internal class ServerHealth {
    private var consecutiveFailures = 0
    private var failureShare = 0.0
    private var samples = 0
    private var backoffMs = FIRST_BACKOFF_MS
    private var ejectedUntilMs: Long? = null
    private var healthySinceMs = 0L

    /** Concurrent requests allowed while the server is ejected or on probation; null when it is healthy. */
    private var probationLimit: Int? = null

    /** Slowdown by which the choice of servers goes. */
    val measuredSlowdown = MeasuredSlowdown()

    /** Moving average of the ratio of observed to expected service time. */
    var slowdown: Double = 1.0
        private set

    /** Concurrent requests that the health of the server allows; 0 while it is ejected. */
    fun allowedRequests(nowMs: Long): Int {
        val ejectedUntil = ejectedUntilMs
        if (ejectedUntil != null && nowMs < ejectedUntil) return 0
        return probationLimit ?: Int.MAX_VALUE
    }

    fun isHealthy(): Boolean = ejectedUntilMs == null && probationLimit == null

    /** Time from which an ejected server may get a probe, or null when it is not ejected. */
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
        measuredSlowdown.onSample(serviceTimeRatio)
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
        if (kind == FailureKind.REFUSED_BUSY || kind == FailureKind.REFUSED_LEAVING) return
        consecutiveFailures++
        samples++
        failureShare += FAILURE_GAIN * (1 - failureShare)
        val isFailing = samples >= MIN_SAMPLES && failureShare > EJECT_FAILURE_SHARE
        if (probationLimit != null || consecutiveFailures >= EJECT_AFTER_FAILURES || isFailing) eject(nowMs)
    }

    /** Ejects a server that has made no progress for much longer than its requests should take. */
    fun onHang(nowMs: Long) {
        if (allowedRequests(nowMs) > 0) eject(nowMs)
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
        measuredSlowdown.reset()
        healthySinceMs = nowMs
    }
}
