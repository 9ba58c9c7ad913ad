package org.lycheemount.platform

import kotlinx.serialization.Serializable
import org.lycheemount.common.BackendServer
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId

/**
 * Snapshot of the VM list. A VM that has left the list never returns under the same id.
 *
 * @property asOfTableTimeMs table time of the response, in milliseconds; the content may be older.
 */
@Serializable
data class VmList(
    val routers: List<RouterVm>,
    val backendServers: List<BackendServer>,
    val asOfTableTimeMs: Long,
)

/** A VM that runs a router. */
@Serializable
data class RouterVm(
    val vmId: VmId,
    val routerId: RouterId,
    val regionId: RegionId,
    val zoneId: ZoneId,
    val host: String,
    val peerPort: Int,
    val leaving: Boolean = false,
)
