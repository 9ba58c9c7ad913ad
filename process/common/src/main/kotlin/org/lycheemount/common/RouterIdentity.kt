package org.lycheemount.common

import kotlinx.serialization.Serializable

/**
 * Identifies one running router process.
 *
 * @property incarnation wall-clock start time in milliseconds; a later start on the same VM has a greater value.
 */
@Serializable
data class RouterIdentity(
    val routerId: RouterId,
    val vmId: VmId,
    val regionId: RegionId,
    val zoneId: ZoneId,
    val incarnation: Long,
)
