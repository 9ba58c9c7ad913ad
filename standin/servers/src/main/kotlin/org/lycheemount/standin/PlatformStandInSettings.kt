package org.lycheemount.standin

import kotlinx.serialization.Serializable
import org.lycheemount.common.ZoneId
import org.lycheemount.platform.VmList

/**
 * Settings of `bin/standin platform`.
 *
 * @property port 0 takes a free port from the system.
 * @property zonePorts listeners for the routers of single zones, which [PlatformFaults.partitionedZones] can cut off.
 * @property vms first content of the VM list.
 * @property rows first content of the table.
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
