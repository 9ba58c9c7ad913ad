package org.lycheemount.peer.socket

/**
 * Limits of the links between routers.
 *
 * @property maxFrameBytes maximum length of a frame after authentication.
 * @property sendQueueFrames maximum number of frames queued on one link; further frames are rejected.
 * @property keepAliveIntervalMs interval at which a keep-alive is sent on links that have sent nothing else since, and at which silent
 *   links are found.
 * @property idleTimeoutMs time without a complete frame after which a link is closed, at the next check. At least three times the
 *   keep-alive interval, since a sound peer may send nothing for two of them.
 * @property unusedLinkTimeoutMs time without a call or message after which an on-demand link is closed; links to neighbours stay open.
 * @property replacedLinkGraceMs time for which a replaced link stays open, so that calls in progress can complete.
 * @property maxPendingHandshakes maximum number of unauthenticated inbound connections. At the bound, a new one replaces the one without
 *   progress for the longest time.
 */
data class PeerLinkSettings(
    val maxFrameBytes: Int = 1 shl 20,
    val sendQueueFrames: Int = 1024,
    val sendQueueBytes: Long = 8L shl 20,
    val maxHandlersPerLink: Int = 256,
    val handshakeTimeoutMs: Long = 5_000,
    val keepAliveIntervalMs: Long = 5_000,
    val idleTimeoutMs: Long = 15_000,
    val unusedLinkTimeoutMs: Long = 60_000,
    val replacedLinkGraceMs: Long = 2_000,
    val initialRetryDelayMs: Long = 100,
    val maxRetryDelayMs: Long = 5_000,
    val maxPendingHandshakes: Int = 64,
) {
    init {
        require(idleTimeoutMs >= keepAliveIntervalMs * MIN_CHECKS) { "idleTimeoutMs must be at least $MIN_CHECKS keepAliveIntervalMs" }
    }

    private companion object {
        private const val MIN_CHECKS = 3
    }
}
