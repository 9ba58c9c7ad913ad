package org.lycheemount.membership

/**
 * Intervals and limits of membership.
 *
 * @property heartbeatTimeoutMs time without a message after which a router counts as silent; the default allows three lost
 *   heartbeats.
 * @property maxFullMeshRouters largest number of routers at which every router is a neighbour of every other one.
 * @property tombstoneRetentionMs time for which the record of a VM that is gone is kept.
 */
data class MembershipSettings(
    val heartbeatIntervalMs: Long = 1_000,
    val heartbeatTimeoutMs: Long = 3_500,
    val vmListIntervalMs: Long = 5_000,
    val maxFullMeshRouters: Int = 16,
    val tombstoneRetentionMs: Long = 24L * 3_600_000,
)
