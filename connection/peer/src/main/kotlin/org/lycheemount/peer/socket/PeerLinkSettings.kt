package org.lycheemount.peer.socket

/**
 * Limits of the links between routers.
 *
 * @property maxFrameBytes greatest length of a frame after authentication.
 * @property sendQueueFrames frames that may wait on one link; further ones are refused.
 * @property idleTimeoutMs a link without a complete frame for this long is closed.
 * @property unusedLinkTimeoutMs a link that was dialed for one call and is not a neighbour's is closed after this long without a call.
 * @property replacedLinkGraceMs time for which a link that another one has replaced goes on answering.
 * @property maxPendingHandshakes inbound connections that may be unauthenticated at the same time.
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
)
