package org.lycheemount.standin

import kotlinx.serialization.Serializable
import org.lycheemount.common.ZoneId
import org.lycheemount.platform.VmList

/**
 * Settings of `bin/standin platform`.
 *
 * @property port 0 binds an ephemeral port.
 * @property zonePorts port of the listener for the routers of each zone; [PlatformFaults.partitionedZones] makes it refuse calls.
 * @property vms initial VM list.
 * @property rows initial rows of the table.
 */
@Serializable
data class PlatformStandInSettings(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val zonePorts: Map<ZoneId, Int> = emptyMap(),
    val vms: VmList = VmList(emptyList(), emptyList(), 0),
    val rows: Map<String, String> = emptyMap(),
    val faults: PlatformFaults = PlatformFaults(),
    val seed: Int = 1,
)
