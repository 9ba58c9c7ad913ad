package org.lycheemount.common

import kotlinx.serialization.Serializable

/**
 * Identifies one running router process.
 *
 * @property incarnation number of this process; that of a later process on the same VM is greater.
 */
@Serializable
data class RouterIdentity(
    val routerId: RouterId,
    val vmId: VmId,
    val regionId: RegionId,
    val zoneId: ZoneId,
    val incarnation: Long,
) {
    /** Name of this process in keys and logs, `ROUTER/INCARNATION`. */
    val processName: String get() = "${routerId.value}/$incarnation"
}
