package org.lycheemount.membership

/**
 * Pace and bounds of membership.
 *
 * @property heartbeatTimeoutMs three heartbeats may be lost before a router counts as silent.
 * @property maxFullMeshRouters with at most this many routers every router is a neighbour.
 * @property tombstoneRetentionMs time for which a VM that is gone is remembered.
 */
data class MembershipSettings(
    val heartbeatIntervalMs: Long = 1_000,
    val heartbeatTimeoutMs: Long = 3_500,
    val vmListIntervalMs: Long = 5_000,
    val maxFullMeshRouters: Int = 16,
    val tombstoneRetentionMs: Long = 24L * 3_600_000,
)
