package org.lycheemount.settings

import kotlinx.serialization.Serializable
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId

/**
 * Settings of a router process, read from a JSON file at startup.
 *
 * @property callers listener for callers' requests, `/metrics`, `/state` and the health checks.
 * @property admin listener for the administration API.
 * @property peers listener for the links between routers.
 * @property requests limits that apply to each request.
 * @property limits limits on what callers can make the process hold.
 * @property adminKeys keys of the administration API; if empty, every operation is rejected.
 * @property configurationFile file with a configuration snapshot that replaces the configuration of the table; null in production.
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
    val limits: ProcessLimitSettings = ProcessLimitSettings(),
    val adminKeys: List<AdminKeySettings> = emptyList(),
)
