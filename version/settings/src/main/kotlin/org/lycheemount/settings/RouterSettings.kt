package org.lycheemount.settings

import kotlinx.serialization.Serializable
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId

/**
 * Settings of one router process, read from a JSON file at start.
 *
 * @property callers listener of the callers' interface, `/metrics`, `/state` and the health checks.
 * @property admin listener of the administration API.
 * @property peers listener of the links between routers.
 * @property requests bounds of single requests.
 * @property adminKeys keys of the administration API; without any, every operation is refused.
 * @property configurationFile file with a configuration snapshot that is used instead of the table's; null in production.
 */
@Serializable
data class RouterSettings(
    val routerId: RouterId,
    val vmId: VmId,
    val regionId: RegionId,
    val zoneId: ZoneId,
    val callers: ListenerSettings,
    val admin: ListenerSettings,
    val peers: ListenerSettings,
    val platform: PlatformSettings,
    val peerSecretFile: String,
    val configurationFile: String? = null,
    val budget: BudgetSettings = BudgetSettings(),
    val requests: RequestSettings = RequestSettings(),
    val adminKeys: List<AdminKeySettings> = emptyList(),
)
