package org.lycheemount.common

import kotlinx.serialization.Serializable

/**
 * A backend server as described by the VM list.
 *
 * @property host IP address.
 * @property targets models or services that it can serve.
 * @property softwareVersion version of its software; a stream goes on only at a server of the version that began it.
 * @property leaving true once the platform has announced its shutdown; it gets no new requests.
 */
@Serializable
data class BackendServer(
    val backendServerId: BackendServerId,
    val vmId: VmId,
    val zoneId: ZoneId,
    val host: String,
    val port: Int,
    val targets: Set<BackendTarget>,
    val leaving: Boolean = false,
    val softwareVersion: SoftwareVersion = SoftwareVersion.UNSTATED,
)
