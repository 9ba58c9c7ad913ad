package org.lycheemount.platform

import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient
import org.lycheemount.common.BackendServer
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId

/**
 * Snapshot of the VM list. A VM that has left the list never returns under the same id.
 *
 * @property asOfTableTimeMs table time of the response, in milliseconds; the content may be older.
 * @property storeEra era of the store whose time [asOfTableTimeMs] is; null if it has stated none. Times of different eras cannot be
 *   compared.
 */
@Serializable
data class VmList(
    val routers: List<RouterVm>,
    val backendServers: List<BackendServer>,
    val asOfTableTimeMs: Long,
    @Transient
    val storeEra: StoreEra? = null,
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
