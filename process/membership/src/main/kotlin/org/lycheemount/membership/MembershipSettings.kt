package org.lycheemount.membership

/**
 * Pace and bounds of membership.
 *
 * @property heardWithinMs three heartbeats may be lost before a router counts as silent.
 * @property fullMeshUpTo with at most this many routers every router is a neighbour.
 * @property tombstoneMs time for which a VM that is gone is remembered.
 */
data class MembershipSettings(
    val heartbeatMs: Long = 1_000,
    val heardWithinMs: Long = 3_500,
    val vmListMs: Long = 5_000,
    val fullMeshUpTo: Int = 16,
    val tombstoneMs: Long = 24L * 3_600_000,
)
